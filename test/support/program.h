/*
 * What all stand-ins share: options, a bounded life, and the body of answers
 * that lets a caller tell whether an answer is whole and its own.
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

/* The body of an upstream's answer; freed with g_free(). */
char *program_body(const char *target, const char *identity, const char *nested,
		   size_t padding_bytes);
/* True if a body is whole and answers this target. */
bool program_body_is_whole(const char *body, const char *target);

#endif
