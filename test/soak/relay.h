/*
 * Fault-injecting relays on loopback between the processes of a soak. They
 * forward TCP connections and datagrams from one address to another and delay,
 * hold, black-hole, lose or reset them as set in the link. All relays run on
 * a separate thread.
 */
#ifndef DWS_SOAK_RELAY_H
#define DWS_SOAK_RELAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Mode of one direction of a link. */
typedef enum relay_mode {
	RELAY_FORWARD,
	RELAY_HOLD, /* keeps data until RELAY_FORWARD; drops datagrams */
} relay_mode_t;

typedef struct relay_link {
	gint to_target; /* relay_mode_t */
	gint from_target; /* relay_mode_t */
	gint delay_ms; /* both ways */
	gint loss_percent; /* of datagrams */
	/*
	 * Counters. An increment resets all open connections, or drops all
	 * further data of one direction on them without closing them.
	 */
	gint reset_generation;
	gint blackhole_to_generation;
	gint blackhole_from_generation;
} relay_link_t;

typedef struct relays relays_t;

relays_t *relays_new(void);
/* Adds a link for TCP or for datagrams. Must precede relays_start(). */
void relays_add(relays_t *relays, relay_link_t *link, bool is_stream,
		const char *from_ip, const char *to_ip, uint16_t port);
void relays_start(relays_t *relays);
/* Makes the relay thread apply changes of the links. */
void relays_notify(relays_t *relays);
void relays_free(relays_t *relays);

#endif
