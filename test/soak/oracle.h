/*
 * What callers and upstreams of a soak saw, compared with what is promised.
 * A broken promise is printed when it is seen. All functions may be called by
 * any thread.
 */
#ifndef DWS_SOAK_ORACLE_H
#define DWS_SOAK_ORACLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ORACLE_ID_SIZE 64

/* One request of a caller, and what became of it. */
typedef struct request {
	char id[ORACLE_ID_SIZE];
	const char *service; /* that its route leads to */
	const char *caller_service; /* of the VM that it was sent to */
	bool is_idempotent;
	bool is_nested_call; /* of an upstream */
	bool is_from_retry; /* of a run that was not the first */
	int version; /* of the route; 0: in all configurations */
	int min_version; /* an effect of it was seen at that daemon before */
	int64_t sent_us;
	int64_t deadline_us;
	bool reported_not_executed;
	GPtrArray *executed_by; /* char *, that ran it, in order */
} request_t;

typedef struct oracle oracle_t;

oracle_t *oracle_new(guint32 seed);
void oracle_free(oracle_t *oracle);
/* A promise was broken; prints it with the seed and the time. */
void oracle_report_violation(oracle_t *oracle, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
/* No fault is on since a time, which is 0 while there is one. */
void oracle_set_fault_free_since(oracle_t *oracle, int64_t since_us);
bool oracle_is_fault_free_since(oracle_t *oracle, int64_t from_us);

/* Takes over an order that is about to be sent. */
request_t *oracle_record_request(oracle_t *oracle, request_t *request);
/*
 * An upstream begins to run a request; the position of the run among those of
 * the order, from 0. -1 if nobody sent it.
 */
int oracle_record_execution(oracle_t *oracle, const char *id,
			    const char *upstream_id, const char *service,
			    const char *caller_service, int64_t time_left_ms);
/* A request was turned away by an upstream, unrun. */
void oracle_record_rejection(oracle_t *oracle, const char *id,
			     const char *service);
/* The caller of an order got an answer with a status of the daemon's own. */
void oracle_record_daemon_response(oracle_t *oracle, request_t *request,
				   int status);
/* The caller got an answer that bears an upstream's signature. */
void oracle_record_upstream_response(oracle_t *oracle, request_t *request,
				     int status, const char *signature,
				     const char *body);
/* How often an order was run. */
int oracle_execution_count(oracle_t *oracle, const request_t *request);
/*
 * Checks what can be told at the end, and prints a summary. The number of
 * broken promises.
 */
int oracle_finish(oracle_t *oracle);

/* What an upstream answers to a request: signature and body, from the id. */
char *oracle_signature(const char *id, const char *upstream_id);
char *oracle_body(const char *id, const char *upstream_id);

#endif
