/*
 * Results without an answer: HTTP status, Retry-After and detail per reason.
 */
#include "request/request.h"

typedef struct dws_reason_text {
	uint16_t status;
	uint32_t retry_after_ms;
	const char *detail;
} dws_reason_text_t;

static const dws_reason_text_t reason_texts[DWS_REASON_COUNT] = {
	[DWS_REASON_BAD_REQUEST] = {400, 0,
				    "the request is malformed; correct it"},
	[DWS_REASON_NO_KIND] = {404, 0,
				"no kind of work matches this method and "
				"path; check them against the configuration"},
	[DWS_REASON_NO_TICKET] = {428, 0,
				  "this kind of work is not idempotent; send "
				  "it again with Dogwoodshift-Ticket set to "
				  "the Dogwoodshift-Next-Ticket of this "
				  "response"},
	[DWS_REASON_BAD_TICKET] = {400, 0,
				   "the ticket is invalid; send it unchanged, "
				   "with the kind of request for which it was "
				   "issued"},
	[DWS_REASON_TICKET_EXPIRED] = {410, 0,
				       "the ticket has expired; if the "
				       "outcome is not-run, use the next "
				       "ticket"},
	[DWS_REASON_TICKET_REUSED] = {422, 0,
				      "the ticket or idempotency key belongs "
				      "to a different request; use another"},
	[DWS_REASON_HOME_UNREACHABLE] = {504, 1000,
					 "the home daemon of this request "
					 "can't be reached; send the request "
					 "again with the same ticket"},
	[DWS_REASON_NO_PARENT] = {400, 0,
				  "Dogwoodshift-Call does not name a request "
				  "in progress; pass it on unchanged, before "
				  "the request is answered"},
	[DWS_REASON_TOO_DEEP] = {400, 0,
				 "the call chain has more than 16 hops; "
				 "check for a loop of calls"},
	[DWS_REASON_RETRY_BUDGET] = {429, 0,
				     "the retry budget of this customer "
				     "request is exhausted; don't retry"},
	[DWS_REASON_CUSTOMER_BUDGET] = {429, 1000,
					"too many retries of this customer; "
					"wait before the next"},
	[DWS_REASON_OVERLOAD] = {503, 500,
				 "no capacity for this kind of work; wait, "
				 "then try again with the next ticket, if any"},
	[DWS_REASON_NO_ENDPOINT] = {503, 1000,
				    "no endpoint of the service can be "
				    "reached; wait, then try again"},
	[DWS_REASON_DRAINING] = {503, 100,
				 "this daemon is draining; use another"},
	[DWS_REASON_STARTING] = {503, 500,
				 "this daemon has no configuration yet; wait "
				 "or use another"},
	[DWS_REASON_DEADLINE] = {504, 0,
				 "the deadline of the request has passed"},
	[DWS_REASON_CANCELLED] = {503, 100, "the request was cancelled"},
	[DWS_REASON_UPSTREAM_LOST] = {504, 0,
				      "the answer of the upstream was lost"},
	[DWS_REASON_LEDGER_FULL] = {503, 1000,
				    "the ledger of non-idempotent requests is "
				    "full; wait or use another daemon"},
	[DWS_REASON_TOO_LARGE] = {413, 0, "the body is too large; send less"},
	[DWS_REASON_NO_ROUTE] = {404, 0,
				 "no route matches this host and path; check "
				 "them against the configuration"},
	[DWS_REASON_UPSTREAM_SHED] = {503, 500,
				      "the upstreams have no capacity; wait, "
				      "then try again"},
	[DWS_REASON_MISDIRECTED] = {503, 100,
				    "the upstream has been replaced; try "
				    "again"},
	[DWS_REASON_DOWNSTREAM_OVERLOAD] =
		{503, 500,
		 "a service that this request calls has "
		 "no capacity; wait, then try again"},
};

/* A result without an answer; status and detail depend on the reason. */
dws_result_t dws_result_refused(dws_outcome_t outcome, dws_reason_t reason)
{
	const dws_reason_text_t *text = &reason_texts[reason];

	return (dws_result_t){.outcome = outcome,
			      .reason = reason,
			      .status = text->status,
			      .retry_after_ms = text->retry_after_ms,
			      .detail = text->detail};
}
