#ifndef PLACEMENT_PLACEMENT_H
#define PLACEMENT_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Placement of one pool of runners: which VMs to buy and let go, and which
/// weights each loads. A core without I/O: placement_tick() is given the time
/// and what is known, and calls back with effects.

#define PLACEMENT_MAX_DATA_CENTRES 32
#define PLACEMENT_MAX_CLASSES 64
#define PLACEMENT_MAX_VERSIONS 8

/// A VM class of one data centre.
struct placement_class {
	uint32_t data_centre; ///< index of the data centre
	bool reclaimable;
	uint64_t price_micros_per_hour;
	uint32_t tokens_per_s;
	uint32_t max_vms;
};

enum placement_vm_state {
	PLACEMENT_STARTING, ///< Asked for; not serving yet.
	PLACEMENT_LIVE,
	PLACEMENT_DRAINING,   ///< Gets no new work, at our wish.
	PLACEMENT_RECLAIMING, ///< Its reclaim was announced.
};

struct placement_vm {
	uint64_t id;
	uint32_t class_index;
	enum placement_vm_state state;
	bool fixed;        ///< Named by a note: never let go by placement.
	uint32_t requests; ///< In progress.
	uint64_t since_us; ///< When it was bought.
	uint32_t loaded;   ///< bit i: versions[i] is loaded
	uint32_t loading;  ///< bit i: versions[i] is on its way
};

/// A version that runners may serve.
struct placement_version {
	uint64_t version;         ///< name key
	uint64_t weight_bytes;    ///< 0: loads at once
	uint32_t target_permille; ///< part of the capacity that should hold it
	uint64_t needed_by_us;    ///< 0: as soon as can be
	bool keep;                ///< In use or kept warm: not to be unloaded.
};

/// What is known at the time of a tick.
struct placement_inputs {
	uint32_t n_data_centres;
	bool reclaiming[PLACEMENT_MAX_DATA_CENTRES]; ///< announced
	uint32_t n_classes;
	struct placement_class classes[PLACEMENT_MAX_CLASSES];
	uint32_t n_vms;
	const struct placement_vm *vms;
	uint32_t n_versions;
	struct placement_version versions[PLACEMENT_MAX_VERSIONS];
	double demand_tokens_per_s;
	double trend_tokens_per_s2; ///< change of the demand a second
};

enum placement_effect_kind {
	PLACEMENT_CREATE,  ///< one VM of class_index; the caller names it
	PLACEMENT_DRAIN,   ///< no new work to VM id
	PLACEMENT_RELEASE, ///< give VM id back
	PLACEMENT_LOAD,    ///< order VM id to load version
	PLACEMENT_UNLOAD,  ///< order VM id to unload version
};

struct placement_effect {
	enum placement_effect_kind kind;
	uint32_t class_index;
	uint64_t id;
	uint64_t version;
};

/// A zero takes the default.
struct placement_settings {
	uint32_t headroom_permille; ///< capacity over demand that is held
	uint64_t start_us;          ///< time from buying to serving
	uint64_t min_lifetime_us;   ///< shortest time that a VM is kept
	uint64_t surplus_us;        ///< a surplus lasts this long first
	uint64_t backoff_us;        ///< first wait after a refused start
	uint64_t backoff_max_us;    ///< longest wait
	uint64_t store_bytes_per_s; ///< of the weight store, all together
	uint32_t store_slots;       ///< loads at a time
	uint32_t versions_per_vm;   ///< that fit in one VM's memory
};

typedef void (*placement_effect_cb)(
    void *arg, const struct placement_effect *effect);

struct placement;

struct placement *placement_new(
    const struct placement_settings *settings, uint64_t seed);
void placement_free(struct placement *p);
void placement_start_refused(
    struct placement *p, uint64_t now_us, uint32_t class_index);
void placement_start_accepted(struct placement *p, uint32_t class_index);
void placement_tick(struct placement *p, uint64_t now_us,
    const struct placement_inputs *w, placement_effect_cb cb, void *arg);
bool placement_survives_dc_loss(
    const struct placement_inputs *w, double tokens_per_s);
uint32_t placement_ready_permille(const struct placement_inputs *w,
    uint32_t version_index, uint32_t old_index);

#endif
