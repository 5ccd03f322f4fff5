/*
 * The fleet of a soak: daemon processes, upstreams and a store that the test
 * process simulates, and relays between all of them.
 */
#ifndef DWS_SOAK_FLEET_H
#define DWS_SOAK_FLEET_H

#include "soak/oracle.h"
#include "soak/relay.h"
#include "support/platform.h"

/* Links of a VM that pass through a relay. */
typedef enum fleet_link {
	LINK_FRAMES,
	LINK_DATAGRAMS,
	LINK_CALLERS,
	LINK_UPSTREAM,
	LINK_STORE,
	FLEET_LINKS,
} fleet_link_t;

/* State of a VM's daemon process. Faults of the process never overlap. */
typedef enum process_state {
	PROCESS_RUNNING,
	PROCESS_PAUSED,
	PROCESS_STOPPING, /* got SIGTERM and has not exited yet */
	PROCESS_DOWN, /* killed, not restarted yet */
} process_state_t;

typedef struct fleet fleet_t;

typedef struct fleet_vm {
	fleet_t *fleet;
	platform_vm_t *platform_vm;
	relay_link_t links[FLEET_LINKS];
	process_state_t process;
	gint start_count; /* of the daemon */
	gint observed_version; /* newest in effect since the start */
	gint upstream_generation; /* counts its replacements */
	gint running_requests; /* at the upstream */
	gint drop_percent; /* of the upstream's responses */
	gint error_percent; /* of the upstream's responses that are 500 */
	gint extra_percent; /* of the responses, followed by a spurious one */
	gint added_latency_ms; /* of each execution */
	/*
	 * Latest time at which callers' connections or the process itself were
	 * disturbed by anything but a planned stop.
	 */
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
	gint stopping; /* ends the caller threads */
	gint in_burst; /* callers do not pause between requests */
};

/* Paths of the fleet's routes. */
#define PATH_BROWSE "/browse/"
#define PATH_PAY "/pay/"
#define PATH_TREE "/tree/"
#define PATH_MIDDLE "/middle/"
#define PATH_LEAF "/leaf/"

/* The service that a path is routed to. */
const char *fleet_service_for_path(const char *path);

/* Starts a fleet and waits until all daemons are ready. */
fleet_t *fleet_new(guint32 seed, int vm_count);
void fleet_free(fleet_t *fleet);
/* Starts a VM's daemon and resets the state kept per start. */
void fleet_start_daemon(fleet_vm_t *vm);
/* Publishes a new configuration and sets the fleet's version to its own. */
void fleet_configure(fleet_t *fleet);
/* Restarts daemons that exited; an unplanned exit is a violation. */
void fleet_reap(fleet_t *fleet);
/* With all faults cleared, checks that every VM serves requests again. */
void fleet_check_recovery(fleet_t *fleet);

/* upstream.c: serves a request as an upstream; see platform_serve_t. */
bool fleet_serve_request(platform_vm_t *platform_vm, int fd, const char *head,
			 size_t body_size_bytes);

/* caller.c */
typedef struct caller caller_t;

/* Starts a caller of a VM on its own thread; it runs until the fleet stops. */
caller_t *caller_new(fleet_vm_t *vm, guint32 seed);
void caller_join(caller_t *caller);
/*
 * Sends one request on a new connection and waits for the response. Returns its
 * status, 0 if there was none. The oracle takes ownership of the request.
 */
int caller_send_request(fleet_vm_t *vm, request_t *request, const char *method,
			const char *path);
/* Returns a new request with a unique ID, for a path at a VM; not sent yet. */
request_t *caller_new_request(fleet_vm_t *vm, const char *path,
			      int64_t timeout_ms);

/* schedule.c: injects faults for a time, then clears them all. */
void schedule_run(fleet_t *fleet, int seconds);

#endif
