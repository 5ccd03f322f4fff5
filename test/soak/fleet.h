/*
 * The fleet of a soak: daemons as processes, with upstreams and a store that
 * the soak plays itself, and relays between all of them.
 */
#ifndef DWS_SOAK_FLEET_H
#define DWS_SOAK_FLEET_H

#include "soak/oracle.h"
#include "soak/relay.h"
#include "support/platform.h"

/* Connections that a relay stands in, for each VM. */
typedef enum fleet_link {
	LINK_FRAMES,
	LINK_DATAGRAMS,
	LINK_CALLERS,
	LINK_UPSTREAM,
	LINK_STORE,
	FLEET_LINKS,
} fleet_link_t;

/* What is done to the process of a VM; one thing at a time. */
typedef enum process_state {
	PROCESS_RUNNING,
	PROCESS_PAUSED,
	PROCESS_STOPPING, /* was asked to end, and may take its time */
	PROCESS_DOWN, /* was killed */
} process_state_t;

typedef struct fleet fleet_t;

typedef struct fleet_vm {
	fleet_t *fleet;
	platform_vm_t *platform_vm;
	relay_link_t links[FLEET_LINKS];
	process_state_t process;
	gint start_count; /* of the daemon; counts its starts */
	gint observed_version; /* newest of which this lifetime showed an effect */
	gint upstream_generation;
	gint running_requests; /* at the upstream */
	gint drop_percent; /* of the upstream's answers */
	gint error_percent; /* of the upstream's answers that are 500 */
	gint extra_percent; /* answers that another one follows */
	gint added_latency_ms; /* added to each run */
	/* Latest time at which callers' connections or the process itself were
	 * disturbed by anything but a planned stop. */
	int64_t disturbed_until_us;
} fleet_vm_t;

struct fleet {
	platform_t platform;
	relays_t *relays;
	oracle_t *oracle;
	GRand *random; /* of the schedule */
	fleet_vm_t *vms;
	int vm_count;
	gint version; /* of the newest configuration */
	gint stopping; /* callers end */
	gint in_burst; /* callers do not pause */
};

/* Paths of the fleet's routes. */
#define PATH_BROWSE "/browse/"
#define PATH_PAY "/pay/"
#define PATH_TREE "/tree/"
#define PATH_MIDDLE "/middle/"
#define PATH_LEAF "/leaf/"

/* The service that a path leads to. */
const char *fleet_service_for_path(const char *path);

/* Starts a fleet and waits until all daemons are ready. */
fleet_t *fleet_new(guint32 seed, int vm_count);
void fleet_free(fleet_t *fleet);
/* Starts the daemon of a VM as a new lifetime. */
void fleet_start_daemon(fleet_vm_t *vm);
/* Writes the next configuration; its number is the newest version then. */
void fleet_configure(fleet_t *fleet);
/* Looks after processes that ended; one that was not asked to is a fault. */
void fleet_reap(fleet_t *fleet);
/* Lifts all faults and checks that the fleet serves again, everywhere. */
void fleet_check_recovery(fleet_t *fleet);

/* upstream.c: the platform_serve_t of all upstreams. */
bool fleet_serve_request(platform_vm_t *platform_vm, int fd, const char *head,
			 size_t body_size_bytes);

/* caller.c */
typedef struct caller caller_t;

/* A caller at a VM, on a thread of its own until the fleet stops. */
caller_t *caller_new(fleet_vm_t *vm, guint32 seed);
void caller_join(caller_t *caller);
/*
 * Sends one request on a connection of its own and waits for its answer; the
 * status, 0 if there was none. The order is the oracle's afterwards.
 */
int caller_send_request(fleet_vm_t *vm, request_t *request, const char *method,
			const char *path);
/* An order for a path at a VM, to be sent; its id is new. */
request_t *caller_new_request(fleet_vm_t *vm, const char *path,
			      int64_t timeout_ms);

/* schedule.c: has faults for a time, then lifts them all. */
void schedule_run(fleet_t *fleet, int seconds);

#endif
