/*
 * Runs libcurl's multi interface on a libev loop.
 */
#include "support/client.h"

typedef struct transfer {
	http_exchange_t *exchange;
	client_done_t done;
	void *data;
} transfer_t;

/* Calls the callbacks of finished transfers and frees the transfers. */
static void finish_transfers(client_t *client)
{
	CURLMsg *message;
	int queued;

	while ((message = curl_multi_info_read(client->multi, &queued))) {
		transfer_t *transfer;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&transfer);
		http_set_result(transfer->exchange, message->data.result);
		curl_multi_remove_handle(client->multi,
					 transfer->exchange->easy);
		transfer->done(transfer->data, transfer->exchange);
		http_free(transfer->exchange);
		g_free(transfer->exchange);
		g_free(transfer);
	}
}

static void run_socket_action(client_t *client, curl_socket_t fd, int events)
{
	int running;

	curl_multi_socket_action(client->multi, fd, events, &running);
	finish_transfers(client);
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	run_socket_action(io->data, io->fd,
			  ((events & EV_READ) ? CURL_CSELECT_IN : 0) |
				  ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0));
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	run_socket_action(timer->data, CURL_SOCKET_TIMEOUT, 0);
}

/* Sets up a watcher for the events that libcurl requests on a socket. */
static int on_socket(CURL *easy, curl_socket_t fd, int poll_events,
		     void *context, void *socket_data)
{
	client_t *client = context;
	ev_io *io = socket_data;

	if (io)
		ev_io_stop(client->loop, io);
	if (poll_events == CURL_POLL_REMOVE) {
		g_free(io);
		curl_multi_assign(client->multi, fd, NULL);
		return 0;
	}
	if (!io)
		io = g_new0(ev_io, 1);
	ev_io_init(io, on_io, fd,
		   ((poll_events & CURL_POLL_IN) ? EV_READ : 0) |
			   ((poll_events & CURL_POLL_OUT) ? EV_WRITE : 0));
	io->data = client;
	ev_io_start(client->loop, io);
	curl_multi_assign(client->multi, fd, io);
	return 0;
}

static int on_timeout(CURLM *multi, long timeout_ms, void *context)
{
	client_t *client = context;

	ev_timer_stop(client->loop, &client->timer);
	if (timeout_ms >= 0) {
		ev_timer_set(&client->timer, (double)timeout_ms / 1000.0, 0.0);
		ev_timer_start(client->loop, &client->timer);
	}
	return 0;
}

/* Initializes a client, which is never freed. */
void client_init(client_t *client, struct ev_loop *loop,
		 uint32_t max_connections)
{
	client->loop = loop;
	client->multi = curl_multi_init();
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timeout);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
			  (long)max_connections);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  (long)max_connections);
	ev_timer_init(&client->timer, on_timer, 0.0, 0.0);
	client->timer.data = client;
}

void client_send(client_t *client, http_exchange_t *exchange,
		 client_done_t done, void *data)
{
	transfer_t *transfer = g_new0(transfer_t, 1);

	transfer->exchange = exchange;
	transfer->done = done;
	transfer->data = data;
	curl_easy_setopt(exchange->easy, CURLOPT_PRIVATE, transfer);
	curl_multi_add_handle(client->multi, exchange->easy);
}
