/*
 * What all stand-ins share: options and a bounded life.
 */
#ifndef DWS_TEST_PROGRAM_H
#define DWS_TEST_PROGRAM_H

#include <ev.h>
#include <glib.h>
#include <popt.h>
#include <stdbool.h>
#include <stdint.h>

/* Reads the options; a fault ends the program with a usage message. */
void program_options(int argc, const char **argv,
		     const struct poptOption *options);
/* Ends the loop on SIGTERM, SIGINT, or after a time in seconds. */
void program_limit(struct ev_loop *loop, int max_seconds);
/* Monotonic time in us. */
int64_t program_now_us(void);
/* "a,key=1" to the value of a key; NULL if absent; freed with g_free(). */
char *program_value(const char *spec, const char *key);
int64_t program_number(const char *spec, const char *key, int64_t fallback);

#endif
