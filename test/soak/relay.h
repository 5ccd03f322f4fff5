/*
 * Relays on loopback between the processes of a soak: TCP connections and
 * datagrams to one address go on to another, delayed, held up, silenced, lost
 * or reset as a link is told. All relays run on a thread of their own.
 */
#ifndef DWS_SOAK_RELAY_H
#define DWS_SOAK_RELAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a link does to the bytes of one direction. */
typedef enum relay_mode {
	RELAY_FORWARD,
	RELAY_HOLD, /* keeps bytes until it passes again */
} relay_mode_t;

typedef struct relay_link {
	gint to_target; /* relay_mode_t */
	gint from_target; /* relay_mode_t */
	gint delay_ms; /* both ways */
	gint loss_percent; /* of datagrams */
	/* Count up: all connections that are open then are reset, or lose all
	 * further bytes of a direction, and nothing tells so. */
	gint reset_generation;
	gint blackhole_to_generation;
	gint blackhole_from_generation;
} relay_link_t;

typedef struct relays relays_t;

relays_t *relays_new(void);
/* Adds a link for TCP, or for datagrams; before relays_start(). */
void relays_add(relays_t *relays, relay_link_t *link, bool is_stream,
		const char *from_ip, const char *to_ip, uint16_t port);
void relays_start(relays_t *relays);
/* Makes the thread look at the links again. */
void relays_notify(relays_t *relays);
void relays_free(relays_t *relays);

#endif
