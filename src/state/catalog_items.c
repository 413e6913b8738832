#include "state/catalog_internal.h"

/// Accessors of the catalog's items: arrays sorted by name, and lookups.

static const void *
items(const struct catalog *s, enum spec_kind kind, size_t *n)
{
	*n = s->tables[kind].n;
	return s->tables[kind].items;
}

/// Backend servers.
const struct catalog_server *
catalog_servers(const struct catalog *s, size_t *n)
{
	return items(s, SPEC_KIND_BACKEND_SERVER, n);
}

/// Versions, except those that were withdrawn.
const struct catalog_version *
catalog_versions(const struct catalog *s, size_t *n)
{
	return items(s, SPEC_KIND_VERSION, n);
}

/// Routes, by path.
const struct spec_route *
catalog_routes(const struct catalog *s, size_t *n)
{
	return items(s, SPEC_KIND_ROUTE, n);
}

/// Customers.
const struct spec_customer *
catalog_customers(const struct catalog *s, size_t *n)
{
	return items(s, SPEC_KIND_CUSTOMER, n);
}

/// Data centres.
const struct spec_data_centre *
catalog_data_centres(const struct catalog *s, size_t *n)
{
	return items(s, SPEC_KIND_DATA_CENTRE, n);
}

/// Pools.
const struct spec_pool *
catalog_pools(const struct catalog *s, size_t *n)
{
	return items(s, SPEC_KIND_POOL, n);
}

/// VM classes.
const struct spec_vm_class *
catalog_vm_classes(const struct catalog *s, size_t *n)
{
	return items(s, SPEC_KIND_VM_CLASS, n);
}

/// Adapters.
const struct spec_adapter *
catalog_adapters(const struct catalog *s, size_t *n)
{
	return items(s, SPEC_KIND_ADAPTER, n);
}

/// Processes of the system.
const struct catalog_member *
catalog_members(const struct catalog *s, size_t *n)
{
	*n = s->members.n;
	return (const struct catalog_member *)(const void *)s->members.items;
}

/// Backend server by name, or NULL.
const struct catalog_server *
catalog_server(const struct catalog *s, const char *name)
{
	return namemap_find(&s->tables[SPEC_KIND_BACKEND_SERVER], name);
}

/// Version by name, or NULL.
const struct catalog_version *
catalog_version(const struct catalog *s, const char *name)
{
	return namemap_find(&s->tables[SPEC_KIND_VERSION], name);
}

/// Version in force of a pool, or NULL.
const struct catalog_version *
catalog_version_in_force(const struct catalog *s, const char *pool)
{
	return catalog_find_in_force(&s->tables[SPEC_KIND_VERSION], pool);
}

/// Route by path, or NULL.
const struct spec_route *
catalog_route(const struct catalog *s, const char *path)
{
	return namemap_find(&s->tables[SPEC_KIND_ROUTE], path);
}

/// Customer by name, or NULL.
const struct spec_customer *
catalog_customer(const struct catalog *s, const char *name)
{
	return namemap_find(&s->tables[SPEC_KIND_CUSTOMER], name);
}

/// Data centre by name, or NULL.
const struct spec_data_centre *
catalog_data_centre(const struct catalog *s, const char *name)
{
	return namemap_find(&s->tables[SPEC_KIND_DATA_CENTRE], name);
}

/// Pool by name, or NULL.
const struct spec_pool *
catalog_pool(const struct catalog *s, const char *name)
{
	return namemap_find(&s->tables[SPEC_KIND_POOL], name);
}

/// VM class by name, or NULL.
const struct spec_vm_class *
catalog_vm_class(const struct catalog *s, const char *name)
{
	return namemap_find(&s->tables[SPEC_KIND_VM_CLASS], name);
}

/// Process of the system by name, or NULL.
const struct catalog_member *
catalog_member(const struct catalog *s, const char *name)
{
	return namemap_find(&s->members, name);
}
