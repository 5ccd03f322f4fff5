/*
 * A platform with two routes to the service "web": /w/ for idempotent requests
 * and /once/ for non-idempotent ones; and answers read byte by byte from a
 * connection that is kept.
 */
#ifndef DWS_TEST_ROUTES_H
#define DWS_TEST_ROUTES_H

#include "support/platform.h"

/*
 * Starts a platform with a VM for each service of a list that ends with NULL,
 * and waits until all daemons serve; settings are extra lines or NULL. Freed by
 * routes_stop().
 */
platform_t *routes_start(platform_serve_t serve, const char *settings,
			 const char *const *services);
void routes_stop(platform_t *platform);
/* True if the last part of the path of a request is a name. */
bool routes_has_name(const char *head, const char *name);

/* An answer of a daemon. */
typedef struct routes_answer {
	bool is_whole; /* else the connection ended before */
	long status; /* 0 if there was none */
	char *attempt_id; /* "" if absent, like the following */
	char *signature;
	char *body;
} routes_answer_t;

/* Sends a request with a body of 4 bytes; method is GET or POST. */
void routes_send(int fd, const char *method, const char *path, const char *id);
/* Reads the next answer; freed with routes_answer_clear(). */
void routes_read_answer(int fd, routes_answer_t *answer);
void routes_answer_clear(routes_answer_t *answer);

#endif
