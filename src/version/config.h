/*
 * One version of the configuration, checked whole and never changed after.
 * Requests hold a reference to the version that they were admitted with.
 */
#ifndef DWS_VERSION_CONFIG_H
#define DWS_VERSION_CONFIG_H

#include "version/document.h"

/* A document of 1 MB of the platform takes up to twice as much here. */
#define DWS_CONFIG_MAX_BYTES DWS_DOCUMENT_MAX_BYTES
#define DWS_NAME_SIZE 64
#define DWS_CONFIG_MAX_ENTRIES 8192 /* services, kinds, routes, slowdowns */
#define DWS_HOST_SIZE 256
#define DWS_ROUTE_PREFIX_SIZE 256
#define DWS_ROUTE_MAX_TARGETS 16

/* A kind of work. Higher priorities are refused last. */
typedef struct dws_kind {
	char name[DWS_NAME_SIZE];
	char service[DWS_NAME_SIZE];
	char method[16]; /* "" matches all */
	char path_prefix[128]; /* after the service's part; whole segments */
	uint8_t priority; /* 0 is refused first */
	uint32_t worth; /* share among kinds of equal priority */
	bool idempotent;
	uint32_t calls_per_parent; /* free nested calls of one parent */
	uint32_t retry_budget; /* of a root request of this kind */
	uint32_t timeout_ms;
} dws_kind_t;

/* One of the services that the requests of a route are spread over. */
typedef struct dws_route_target {
	char service[DWS_NAME_SIZE];
	uint32_t weight; /* share among the targets of the route */
} dws_route_target_t;

/*
 * What becomes of the requests for one host below one path. Requests that
 * come in on the routed listener are told apart by routes, others by kinds.
 */
typedef struct dws_route {
	char name[DWS_NAME_SIZE];
	char host[DWS_HOST_SIZE]; /* in small letters, without a port */
	char path_prefix[DWS_ROUTE_PREFIX_SIZE]; /* starts and ends with / */
	dws_route_target_t targets[DWS_ROUTE_MAX_TARGETS];
	uint32_t target_count;
	uint32_t total_weight; /* of all targets; above 0 */
	uint8_t priority; /* 0 is refused first */
	uint32_t worth; /* share among routes of equal priority */
	bool idempotent;
	uint32_t timeout_ms; /* longest time that a request may take */
	uint32_t objective_ms; /* an answer within it is of full worth */
	uint32_t max_attempts; /* upstreams that may get one request */
} dws_route_t;

/* Bounds on what a caller may send on the routed listener. */
struct dws_caller_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms; /* from the first byte to the whole head */
	uint32_t idle_timeout_ms; /* of a connection without a request */
};

extern const dws_caller_limits_t dws_default_caller_limits;

typedef struct dws_service {
	char name[DWS_NAME_SIZE];
	uint32_t slots; /* per upstream; 0: the process settings decide */
	char health_path[128]; /* "" if there is none */
	uint32_t max_connections; /* per upstream; 0: no bound */
} dws_service_t;

/* A planned slowdown of called customers' requests. */
typedef struct dws_slowdown {
	char name[DWS_NAME_SIZE];
	int64_t start_ms; /* UTC */
	int64_t end_ms;
	uint32_t added_delay_ms;
	GPtrArray *kinds; /* char * */
	GPtrArray *customers; /* char *, all that are to be called */
	GHashTable *called; /* char * set, called for exactly this window */
} dws_slowdown_t;

typedef struct dws_config {
	uint32_t references;
	uint64_t version;
	GArray *services; /* dws_service_t */
	GArray *kinds; /* dws_kind_t; indexes are stable in a version */
	GArray *routes; /* dws_route_t */
	GHashTable *routes_by_host; /* host to the index of its routes */
	dws_caller_limits_t caller_limits;
	GPtrArray *slowdowns; /* dws_slowdown_t *, owned */
	uint32_t customer_retries_per_min;
	uint32_t slowdown_freshness_ms;
	uint32_t slowdown_clock_skew_ms;
} dws_config_t;

/*
 * Builds and checks a version from a YAML document. NULL with every fault in
 * one error message.
 */
dws_config_t *dws_config_parse(const char *text, size_t size_bytes,
			       const char *name, uint64_t version,
			       GError **error);
/*
 * The same from a parsed document. A name of NULL leaves lines out of the
 * message, so that it depends on the document's values alone.
 */
dws_config_t *dws_config_build(const dws_value_t *document, const char *name,
			       uint64_t version, GError **error);
dws_config_t *dws_config_ref(dws_config_t *config);
void dws_config_unref(dws_config_t *config);

/*
 * Finds the kind of a request by service, method and longest path prefix.
 * The path is "/service/rest?query". NULL if none matches, or if the path is
 * ambiguous: with empty or dot segments, or encoded slashes or dots.
 */
const dws_kind_t *dws_config_match(const dws_config_t *config,
				   const char *method, const char *path);
/*
 * Finds the route of a request: of those of the host, the one with the
 * longest prefix that the path starts with. NULL if none matches.
 */
const dws_route_t *dws_config_route(const dws_config_t *config,
				    const char *host, const char *path);
/*
 * The target that a draw falls on; draws are spread evenly over 0 to
 * UINT32_MAX.
 */
const dws_route_target_t *dws_route_draw(const dws_route_t *route,
					 uint32_t draw);
const dws_kind_t *dws_config_kind(const dws_config_t *config, const char *name);
const dws_service_t *dws_config_service(const dws_config_t *config,
					const char *name);

/*
 * The record of a call for exactly this slowdown, with its times as they
 * stand in the document; freed with g_free().
 */
char *dws_slowdown_call_record(const dws_slowdown_t *slowdown,
			       const char *start, const char *end);

/*
 * The delay in ms that a planned slowdown adds to a request; 0 unless the
 * customer was called for exactly the window that surely is on, and the
 * configuration was confirmed recently enough. age_ms is the time since a
 * confirmation. In doubt the customer is served in full.
 */
uint32_t dws_config_slowdown_ms(const dws_config_t *config, const char *kind,
				const char *customer, int64_t wall_ms,
				int64_t age_ms);

#endif
