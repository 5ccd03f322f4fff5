/*
 * Command-line options and run time limit, common to all test doubles.
 */
#ifndef DWS_TEST_PROGRAM_H
#define DWS_TEST_PROGRAM_H

#include <ev.h>
#include <glib.h>
#include <popt.h>
#include <stdbool.h>
#include <stdint.h>

/* Parses the command line; on an error prints a message and exits. */
void program_options(int argc, const char **argv,
		     const struct poptOption *options);
/* Ends the loop on SIGTERM, SIGINT or after max_seconds. */
void program_set_time_limit(struct ev_loop *loop, int max_seconds);
/* Returns monotonic time in us. */
int64_t program_now_us(void);
/*
 * Returns the value of a key in a list such as "a,key=1", to be freed with
 * g_free(); NULL if absent.
 */
char *program_option_value(const char *spec, const char *key);
/* Returns the value of a key as a number; the fallback if absent. */
int64_t program_option_number(const char *spec, const char *key,
			      int64_t fallback);

#endif
