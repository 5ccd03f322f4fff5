/*
 * A site of real processes for failure tests: a simulated platform and, for
 * each endpoint VM, a simulated upstream and a daemon. The kernel kills all
 * processes when the test program ends or crashes.
 */
#ifndef DWS_TEST_SITE_H
#define DWS_TEST_SITE_H

#include "support/suite.h"
#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

#include "support/http.h"

/* A process that the site started; pid is 0 if it does not run. */
typedef struct site_process {
	pid_t pid;
	uint16_t ports[8]; /* read from its ready line */
} site_process_t;

#define SITE_LISTENERS 5

typedef struct site site_t;

typedef struct site_vm {
	site_t *site;
	char *id;
	char *zone;
	char *service;
	char *settings; /* extra lines of YAML */
	char *record; /* file in which the upstream records executions */
	char *log; /* log file of the daemon */
	uint16_t callers, nested, admin, frame, datagram;
	int reserved_sockets[SITE_LISTENERS]; /* -1 once closed */
	site_process_t upstream;
	site_process_t daemon;
} site_vm_t;

struct site {
	char *dir;
	char *document; /* file with the platform's first snapshot */
	site_process_t platform;
	GPtrArray *vms; /* site_vm_t * */
};

/* Creates a site and starts a platform that publishes a document. */
site_t *site_new(const char *document);
/* Restarts the platform, which loses all changes since the first document. */
void site_restart_platform(site_t *site);
/* Kills all processes and removes all files, unless a test has failed. */
void site_free(site_t *site);

/*
 * Adds a VM and starts its upstream; site_start() starts the daemon. Options
 * of the upstream are separated by '|'; settings are extra lines of YAML.
 */
site_vm_t *site_add(site_t *site, const char *id, const char *zone,
		    const char *service, const char *upstream,
		    const char *settings);
/* Publishes the VM list, starts the daemons and waits until all serve. */
bool site_start(site_t *site);
/* Starts a VM's daemon; after a restart it keeps its id and addresses. */
void site_spawn_daemon(site_vm_t *vm);
bool site_start_daemon(site_vm_t *vm);
void site_start_upstream(site_vm_t *vm, const char *options);
bool site_wait_ready(site_vm_t *vm);

void site_process_kill(site_process_t *process);
void site_process_pause(site_process_t *process);
void site_process_resume(site_process_t *process);
/* Sends SIGTERM and waits for the exit; returns the exit status, or -1. */
int site_process_terminate(site_process_t *process);
int site_process_wait(site_process_t *process);
/* Starts or stops dropping all packets between the daemons. */
void site_set_partition(site_t *site, bool partitioned);
/* Shuts down the current connections between a VM's daemon and its peers. */
void site_close_streams(site_vm_t *vm);
/* Changes the behaviour of an upstream with a query such as "stall=1". */
void site_control_upstream(site_vm_t *vm, const char *query);
/* Posts a body to a control item of the platform. */
void site_post_platform(site_t *site, const char *item, const char *body);

/* Sends a request to a VM's daemon and blocks; ticket may be NULL. */
void site_call(http_exchange_t *answer, const site_vm_t *vm, const char *method,
	       const char *target, const char *customer, const char *ticket);
/* Sends a request in the background; site_await_answer() returns the answer. */
typedef struct site_pending_request site_pending_request_t;
site_pending_request_t *site_call_async(const site_vm_t *vm, const char *method,
					const char *target,
					const char *customer,
					const char *ticket);
void site_await_answer(site_pending_request_t *task, http_exchange_t *answer);
/* Obtains a ticket for a target from a VM's daemon; freed with g_free(). */
char *site_get_ticket(const site_vm_t *vm, const char *target);
/* True if the outcome is complete and the body is intact and of this target. */
bool site_is_complete(const http_exchange_t *answer, const char *target);
bool site_has_outcome(const http_exchange_t *answer, const char *outcome);
/* Counts the events ("start") that all upstreams recorded for a target. */
int site_count_events(const site_t *site, const char *event,
		      const char *target);
/* Reads a page of a daemon's admin listener; "" without an answer of 200. */
char *site_get_admin_page(const site_vm_t *vm, const char *page);
/* Returns a number from a JSON page, or a counter; -1 if absent. */
int64_t site_get_number(const site_vm_t *vm, const char *page,
			const char *name);

/*
 * Sleeps for one poll interval; returns false 60 s after the first call:
 * for (deadline = 0; !condition && site_poll(&deadline);)
 */
bool site_poll(int64_t *deadline_us);

/* Runs named tests with CUnit; returns the exit status of the program. */
int site_main(const char *suite_name, const suite_test_t *tests);

#endif
