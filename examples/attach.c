/*
 * Embeds a node in a custom driver, without sockets: the driver sets the clock,
 * and its upstream responds immediately. Sends one request of the kind browse
 * and prints the response.
 */
#include <stdio.h>
#include <string.h>

#include "process/settings.h"

static const char *const settings_text = "vm_id: vm-1\n"
					 "zone: a\n"
					 "region: palermo\n"
					 "service: portfolios\n"
					 "callers_listen: 127.0.0.1:7001\n"
					 "upstream_listen: 127.0.0.1:7002\n"
					 "admin_listen: 127.0.0.1:7070\n"
					 "frame_listen: 127.0.0.1:7003\n"
					 "datagram_listen: 127.0.0.1:7004\n"
					 "upstream: 127.0.0.1:8001\n"
					 "platform: 127.0.0.1:9001\n";

static const char *const config_log =
	"snapshot:\n"
	"  sequence: 1\n"
	"  version: 1\n"
	"  document:\n"
	"    services: {portfolios: {slots: 4}}\n"
	"    kinds:\n"
	"      browse: {service: portfolios, method: GET, path_prefix: /,"
	" priority: 0, worth: 1, idempotent: true, timeout_ms: 1000}\n";

/* State of the driver; dws_io_t must be the first member. */
typedef struct driver {
	dws_io_t io;
	uint64_t attempt_id; /* of the dispatch in flight; 0 if none */
	bool config_requested;
} driver_t;

static void on_answer(dws_io_t *io, uint64_t call_id,
		      const dws_answer_t *answer)
{
	gsize size_bytes = 0;
	const char *body = "";

	if (answer->body)
		body = g_bytes_get_data(answer->body, &size_bytes);
	printf("%s, status %u: %.*s\n", dws_outcome_name(answer->outcome),
	       answer->status, (int)size_bytes, body);
}

static void on_dispatch(dws_io_t *io, const dws_dispatch_t *dispatch)
{
	((driver_t *)io)->attempt_id = dispatch->attempt_id;
}

static void on_cancel(dws_io_t *io, uint64_t attempt_id)
{
	((driver_t *)io)->attempt_id = 0;
}

static void on_send_frame(dws_io_t *io, const dws_address_t *to,
			  const dws_frame_t *frame)
{
}

static void on_send_datagram(dws_io_t *io, const dws_address_t *to,
			     const uint8_t *data, size_t size_bytes)
{
}

static void on_read(dws_io_t *io, dws_platform_item_t item, uint64_t after,
		    int64_t wait_ms)
{
	if (item == DWS_PLATFORM_CONFIG)
		((driver_t *)io)->config_requested = true;
}

static void on_log(dws_io_t *io, dws_log_level_t level, const char *event,
		   const char *fields)
{
	printf("event=%s %s\n", event, fields);
}

static void on_span(dws_io_t *io, const dws_span_t *span)
{
	printf("span %s %s\n", span->name, span->kind);
}

static const dws_io_ops_t ops = {
	.answer = on_answer,
	.dispatch = on_dispatch,
	.cancel = on_cancel,
	.send_frame = on_send_frame,
	.send_datagram = on_send_datagram,
	.read_platform = on_read,
	.log = on_log,
	.span = on_span,
};

/*
 * Advances the clock by two seconds, after which the node no longer waits for
 * peers and accepts requests.
 */
static int64_t run_for_two_seconds(dws_node_t *node, driver_t *driver)
{
	int64_t now_us = 0;

	while (now_us < 2 * DWS_US_PER_S) {
		int64_t wake_us = dws_node_tick(node, now_us, 0);

		if (driver->config_requested) {
			driver->config_requested = false;
			dws_node_platform_read_finished(
				node, now_us, DWS_PLATFORM_CONFIG, true,
				config_log, strlen(config_log));
		}
		now_us = MAX(wake_us, now_us + 1);
	}
	return now_us;
}

int main(void)
{
	driver_t driver = {.io.ops = &ops};
	dws_settings_t settings;
	GError *error = NULL;
	dws_call_t call = {.method = "GET", .path = "/portfolios/ada"};
	dws_dispatch_outcome_t outcome = {.status = 200,
					  .body = g_bytes_new("hello", 5)};

	if (!dws_settings_parse(&settings, settings_text, strlen(settings_text),
				"example", &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return 2;
	}
	dws_node_t *node = g_malloc(dws_node_size_bytes());

	dws_node_init(node, &settings, &driver.io, 1, 1, 0, 0);
	int64_t now_us = run_for_two_seconds(node, &driver);

	dws_node_call(node, now_us, &call);
	if (driver.attempt_id)
		dws_node_dispatch_finished(node, now_us, driver.attempt_id,
					   &outcome);
	g_bytes_unref(outcome.body);
	dws_node_finish(node);
	g_free(node);
	return 0;
}
