/*
 * Test oracle of a soak: records what callers and upstreams observe and checks
 * it against the guarantees of the system. A violation is printed when it is
 * detected. All functions are thread-safe.
 */
#ifndef DWS_SOAK_ORACLE_H
#define DWS_SOAK_ORACLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ORACLE_ID_SIZE 64

/* One request of a caller, with its observed outcome. */
typedef struct request {
	char id[ORACLE_ID_SIZE];
	const char *service; /* target of its route */
	const char *caller_service; /* service of the VM it was sent to */
	bool is_idempotent;
	bool is_nested_call; /* sent by an upstream */
	bool is_from_retry; /* nested call of a retried execution */
	int version; /* of its route; 0: part of every configuration */
	int min_version; /* newest observed at the daemon when sent */
	int64_t sent_us;
	int64_t deadline_us;
	bool reported_not_executed; /* to the caller */
	GPtrArray *executed_by; /* char *, upstream IDs in order of execution */
} request_t;

typedef struct oracle oracle_t;

oracle_t *oracle_new(guint32 seed);
void oracle_free(oracle_t *oracle);
/* Counts a violation and prints it with the seed and the elapsed time. */
void oracle_report_violation(oracle_t *oracle, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
/* Sets the time since which no fault is active; 0 while one is. */
void oracle_set_fault_free_since(oracle_t *oracle, int64_t since_us);
bool oracle_is_fault_free_since(oracle_t *oracle, int64_t from_us);

/* Records a request that is about to be sent, and takes ownership of it. */
request_t *oracle_record_request(oracle_t *oracle, request_t *request);
/*
 * Records that an upstream begins to execute a request. Returns how often the
 * request was executed before, or -1 if no caller sent it.
 */
int oracle_record_execution(oracle_t *oracle, const char *id,
			    const char *upstream_id, const char *service,
			    const char *caller_service, int64_t time_left_ms);
/* Records that an upstream rejected a request without executing it. */
void oracle_record_rejection(oracle_t *oracle, const char *id,
			     const char *service);
/* Records a response that the daemon generated itself. */
void oracle_record_daemon_response(oracle_t *oracle, request_t *request,
				   int status);
/* Records a response that has an upstream's signature. */
void oracle_record_upstream_response(oracle_t *oracle, request_t *request,
				     int status, const char *signature,
				     const char *body);
/* Returns how often a request was executed. */
int oracle_execution_count(oracle_t *oracle, const request_t *request);
/*
 * Runs the checks that need the whole record and prints a summary. Returns the
 * number of violations.
 */
int oracle_finish(oracle_t *oracle);

/*
 * Signature and body of an upstream's response, derived from the request ID
 * and the upstream ID. Freed with g_free().
 */
char *oracle_signature(const char *id, const char *upstream_id);
char *oracle_body(const char *id, const char *upstream_id);

#endif
