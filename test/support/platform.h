/*
 * Stand-ins of the operators' platform on loopback: the store that daemons
 * read, upstreams beside them, and the daemons themselves. Each VM is an IP
 * number of its own; ports are the same on all. The stand-ins serve each
 * connection by a thread, so a test may block.
 */
#ifndef DWS_TEST_PLATFORM_H
#define DWS_TEST_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "support/http.h"

#define PLATFORM_MAX_VMS 100

#define PLATFORM_STORE_IP "127.0.4.1"

/* The ports of each VM. */
typedef enum platform_port {
	PORT_FRAMES, /* TCP and UDP */
	PORT_ROUTED,
	PORT_READY,
	PORT_ADMIN,
	PORT_UPSTREAM,
	PLATFORM_PORTS,
} platform_port_t;

typedef enum store_mode {
	STORE_SERVES,
	STORE_DOWN, /* closes connections without an answer */
	STORE_BUSY, /* answers 503 */
	STORE_SILENT, /* reads and never answers */
} store_mode_t;

struct platform;

typedef struct platform_vm {
	struct platform *platform;
	int number; /* from 0 */
	char ip[24]; /* by which peers and the store know it */
	char bind_ip[24]; /* that its processes bind; mostly the same */
	char zone[16];
	char service[16];
	char upstream_id[32]; /* that the upstream answers for */
	int upstream_fd;
	GPid daemon; /* 0 if none runs */
	char *settings;
	char *log;
	bool stalls_log; /* logs to a pipe that nobody reads */
} platform_vm_t;

/* One request as an upstream got it. */
typedef struct platform_run {
	char *upstream_id;
	char *head; /* request line and headers */
	bool hung_up; /* its connection ended before the answer */
} platform_run_t;

/*
 * Serves one request of an upstream in place of the usual behaviour; false if
 * the connection is to end.
 */
typedef bool (*platform_serve_t)(platform_vm_t *vm, int fd, const char *head,
				 size_t body_size_bytes);

typedef struct platform {
	platform_serve_t serve; /* NULL: the usual behaviour */
	bool has_relays; /* VMs are reached by other IP numbers than they bind */
	GMutex lock;
	GCond changed; /* store, runs or barrier */
	store_mode_t mode;
	uint64_t revision;
	uint64_t horizon; /* watches from before it get 410 */
	GPtrArray *items; /* store_item_t *, in the order of their changes */
	GPtrArray *runs; /* platform_run_t * */
	int waiting; /* requests at the barrier */
	int released; /* requests that the barrier has let go */
	uint64_t store_calls;
	int store_fd;
	uint16_t store_port;
	uint16_t ports[PLATFORM_PORTS];
	int reserved[PLATFORM_PORTS + 1];
	platform_vm_t vms[PLATFORM_MAX_VMS];
	int vm_count;
	char *dir;
	bool stopping;
	gint serving; /* threads that serve a connection */
} platform_t;

void platform_start(platform_t *platform);
/* Stops all daemons and stand-ins; no connection is served any more. */
void platform_stop(platform_t *platform);
/* Starts an upstream of a service on a new VM and registers it. */
platform_vm_t *platform_add_vm(platform_t *platform, const char *service);
void platform_start_daemon(platform_vm_t *vm);
/* Writes the settings of a VM's daemon; more lines may follow the usual. */
void platform_write_settings(platform_vm_t *vm, const char *more);
/* Sends a signal; with wait, returns once the daemon has ended. */
void platform_signal_daemon(platform_vm_t *vm, int number, bool wait);
/* Waits until a daemon says that it is ready; false after a long time. */
bool platform_await_ready(platform_vm_t *vm);
/* Asks once; the status of the answer, 0 if there is none. */
long platform_readiness(platform_vm_t *vm);

/* Writes an item of the store; NULL removes it. */
void platform_put(platform_t *platform, const char *key, const char *value);
/* Writes the entry of an upstream as it registers itself. */
void platform_register(platform_vm_t *vm, const char *state);
/* Writes a configuration: version and the text of its "listeners". */
void platform_configure(platform_t *platform, int version,
			const char *listeners);
void platform_set_mode(platform_t *platform, store_mode_t mode);
/* Drops the history and cuts watches in silence. */
void platform_compact(platform_t *platform);

/* A whole exchange with a daemon's routed listener. */
void platform_call(platform_vm_t *vm, const char *method, const char *host,
		   const char *path, const char *attempt_id,
		   http_exchange_t *exchange);
/* Sends a whole text; false if the connection ended. */
bool platform_send(int fd, const char *text, size_t size_bytes);
/* The value of a header; freed with g_free(); NULL if absent. */
char *platform_header(const char *head, const char *name);
/* Reads a head up to its empty line; NULL if the connection ended. */
char *platform_read_head(int fd);
/* Connects to a daemon's routed listener; blocking, with a long time-out. */
int platform_connect(platform_vm_t *vm);
/* How often upstreams got a request whose head holds a text. */
int platform_runs(platform_t *platform, const char *text);
/* The head of the latest of them, borrowed; "" if there is none. */
const char *platform_head(platform_t *platform, const char *text);
/* Waits until a condition holds; false after a long time. */
bool platform_await(bool (*holds)(void *context), void *context);

#endif
