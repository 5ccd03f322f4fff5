/*
 * Concurrent HTTP exchanges on the event loop of a test program.
 */
#ifndef DWS_TEST_CLIENT_H
#define DWS_TEST_CLIENT_H

#include <ev.h>

#include "support/http.h"

typedef struct client {
	CURLM *multi;
	struct ev_loop *loop;
	ev_timer timer;
} client_t;

typedef void (*client_done_t)(void *data, http_exchange_t *exchange);

void client_init(client_t *client, struct ev_loop *loop,
		 uint32_t max_connections);
/*
 * Starts an initialized exchange and takes ownership of it. done is called
 * once; afterwards the exchange is freed.
 */
void client_send(client_t *client, http_exchange_t *exchange,
		 client_done_t done, void *data);

#endif
