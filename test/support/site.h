/*
 * A small site of real processes for failure tests: the platform's stand-in,
 * and per endpoint VM an upstream's stand-in and a daemon. All processes end
 * with the test program, however that ends.
 */
#ifndef DWS_TEST_SITE_H
#define DWS_TEST_SITE_H

#include "support/suite.h"
#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

#include "support/http.h"

/* One process that the site started; pid 0 once it ended. */
typedef struct site_process {
	pid_t pid;
	uint16_t ports[8]; /* as in its ready line */
} site_process_t;

#define SITE_LISTENERS 5

typedef struct site site_t;

typedef struct site_vm {
	site_t *site;
	char *id;
	char *zone;
	char *service;
	char *settings; /* extra lines */
	char *record; /* file of the upstream's executions */
	char *log; /* file of the daemon */
	uint16_t callers, nested, admin, frame, datagram;
	int held[SITE_LISTENERS]; /* sockets that reserve the ports */
	site_process_t upstream;
	site_process_t daemon;
} site_vm_t;

struct site {
	char *dir;
	char *document; /* file of the platform's first snapshot */
	site_process_t platform;
	GPtrArray *vms; /* site_vm_t * */
};

/* Starts a platform that publishes a document. */
site_t *site_new(const char *document);
/* Replaces the platform by one that knows only the first document. */
void site_restart_platform(site_t *site);
/* Ends all processes and removes all files. */
void site_free(site_t *site);

/*
 * Adds a VM with its upstream; the daemon starts with site_start(). Options
 * of the upstream are separated by '|'; settings are lines of YAML.
 */
site_vm_t *site_add(site_t *site, const char *id, const char *zone,
		    const char *service, const char *upstream,
		    const char *settings);
/* Publishes the list of VMs, starts the daemons and waits until all serve. */
bool site_start(site_t *site);
/* Starts a VM's daemon, again with the same id and addresses. */
void site_spawn_daemon(site_vm_t *vm);
bool site_start_daemon(site_vm_t *vm);
void site_start_upstream(site_vm_t *vm, const char *options);
bool site_wait_ready(site_vm_t *vm);

void site_kill(site_process_t *process);
void site_pause(site_process_t *process);
void site_continue(site_process_t *process);
/* Sends SIGTERM and waits for the end; the exit status, or -1. */
int site_stop(site_process_t *process);
int site_wait_end(site_process_t *process);
/* Loses all packets between the daemons from now on, or no longer. */
void site_set_partition(site_t *site, bool parted);
/* Breaks the streams between a VM's daemon and its peers once. */
void site_break_streams(site_vm_t *vm);
/* Changes the behaviour of an upstream, such as "stall=1". */
void site_upstream(site_vm_t *vm, const char *query);
/* Posts to a control item of the platform. */
void site_platform(site_t *site, const char *item, const char *body);

/* Sends a request to a VM's daemon; ticket may be NULL. Blocks. */
void site_call(http_exchange_t *answer, const site_vm_t *vm, const char *method,
	       const char *target, const char *customer, const char *ticket);
/* The same in the background, for site_join(). */
typedef struct site_task site_task_t;
site_task_t *site_call_later(const site_vm_t *vm, const char *method,
			     const char *target, const char *customer,
			     const char *ticket);
void site_join(site_task_t *task, http_exchange_t *answer);
/* Gets a ticket for a target from a VM's daemon; freed with g_free(). */
char *site_ticket(const site_vm_t *vm, const char *target);
/* True if an answer is complete, whole and for this target. */
bool site_is_complete(const http_exchange_t *answer, const char *target);
bool site_has_outcome(const http_exchange_t *answer, const char *outcome);
/* How often upstreams recorded an event ("start") of a target, over all VMs. */
int site_count(const site_t *site, const char *event, const char *target);
/* Reads a page of a daemon's admin listener; "" if there is none. */
char *site_admin(const site_vm_t *vm, const char *page);
/* A number member of a page in JSON, or a counter; -1 if absent. */
int64_t site_number(const site_vm_t *vm, const char *page, const char *name);

/* Waiting for a state: for (deadline = 0; !state && site_waits(&deadline);) */
bool site_waits(int64_t *deadline_us);

/* Runs named tests with CUnit; the exit status of the program. */
int site_main(const char *suite, const suite_test_t *tests);

#endif
