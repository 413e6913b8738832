#ifndef PLACEMENT_PLACEMENT_H
#define PLACEMENT_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Placement of one pool of runners: which VMs to create and release, and which
/// model weights each VM loads. Does no I/O: placement_tick() takes the time
/// and the current state, and calls back with effects that the caller carries
/// out.

#define PLACEMENT_MAX_DATA_CENTRES 32
#define PLACEMENT_MAX_CLASSES 64
#define PLACEMENT_MAX_VERSIONS 8

/// A VM class of one data centre.
struct placement_class {
	uint32_t data_centre; ///< index of the data centre
	bool reclaimable;     ///< cheaper; the platform may reclaim its VMs
	uint64_t price_micros_per_hour;
	uint32_t tokens_per_s; ///< capacity of one VM
	uint32_t max_vms; ///< that may exist at a time, draining ones included
};

enum placement_vm_state {
	PLACEMENT_STARTING, ///< requested; not serving yet
	PLACEMENT_LIVE,
	PLACEMENT_DRAINING,   ///< gets no new work, by PLACEMENT_DRAIN
	PLACEMENT_RECLAIMING, ///< a reclaim notice for it was received
};

struct placement_vm {
	uint64_t id;
	uint32_t class_index;
	enum placement_vm_state state;
	bool pinned;           ///< named by a release note: never drained
	uint32_t requests;     ///< in flight
	uint64_t created_us;   ///< when it was created
	uint32_t loaded_mask;  ///< bit i: versions[i] is loaded
	uint32_t loading_mask; ///< bit i: versions[i] is being loaded
};

/// A model version that runners may serve.
struct placement_version {
	uint64_t version;         ///< key of its name
	uint64_t weight_bytes;    ///< size of its weights; 0: loads at once
	uint32_t target_permille; ///< share of the capacity that loads it
	uint64_t needed_by_us;    ///< point in time; 0: as soon as possible
	bool keep_loaded;         ///< in use or kept warm: never unloaded
};

/// State of the pool at the time of a tick.
struct placement_inputs {
	uint32_t n_data_centres;
	/// By data centre: a reclaim notice was received.
	bool reclaiming[PLACEMENT_MAX_DATA_CENTRES];
	uint32_t n_classes;
	struct placement_class classes[PLACEMENT_MAX_CLASSES];
	uint32_t n_vms;
	const struct placement_vm *vms; ///< n_vms of them, the caller's
	uint32_t n_versions;
	struct placement_version versions[PLACEMENT_MAX_VERSIONS];
	double demand_tokens_per_s;
	double trend_tokens_per_s2; ///< change of the demand per second
};

enum placement_effect_kind {
	PLACEMENT_CREATE,  ///< create a VM of class_index; the caller names it
	PLACEMENT_DRAIN,   ///< dispatch no new work to VM id
	PLACEMENT_RELEASE, ///< delete VM id
	PLACEMENT_LOAD,    ///< order VM id to load version
	PLACEMENT_UNLOAD,  ///< order VM id to unload version
};

struct placement_effect {
	enum placement_effect_kind kind;
	uint32_t class_index; ///< PLACEMENT_LOAD, PLACEMENT_UNLOAD: unset
	uint64_t id;          ///< PLACEMENT_CREATE: 0
	uint64_t version;     ///< PLACEMENT_LOAD, PLACEMENT_UNLOAD only
};

/// Settings of a pool. A field that is zero takes its default.
struct placement_settings {
	uint32_t headroom_permille;   ///< capacity to hold above the demand
	uint64_t vm_start_us;         ///< time from creation to serving
	uint64_t min_lifetime_us;     ///< a VM is not drained sooner
	uint64_t scale_down_delay_us; ///< surplus lasts so long before a drain
	uint64_t backoff_us;          ///< wait after the first refused start
	uint64_t backoff_max_us;      ///< bound of that wait, which doubles
	uint64_t store_bytes_per_s;   ///< total rate of the weight store
	uint32_t store_slots;     ///< concurrent loads from the weight store
	uint32_t versions_per_vm; ///< versions that fit in one VM's memory
};

/// Receives one effect; `effect` is valid during the call only.
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
    const struct placement_inputs *in, placement_effect_cb cb, void *arg);
bool placement_survives_dc_loss(
    const struct placement_inputs *in, double tokens_per_s);
uint32_t placement_ready_permille(const struct placement_inputs *in,
    uint32_t version_index, uint32_t old_index);

#endif
