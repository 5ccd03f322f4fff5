/*
 * Names of the public enumerations, as used in responses and logs.
 */
#include "dogwoodshift.h"

static const char *const error_names[] = {
	[DWS_ERROR_SYNTAX] = "syntax",
	[DWS_ERROR_UNKNOWN_KEY] = "unknown-key",
	[DWS_ERROR_VALUE] = "value",
	[DWS_ERROR_CONFLICT] = "conflict",
	[DWS_ERROR_TOO_LARGE] = "too-large",
	[DWS_ERROR_FRAME] = "frame",
	[DWS_ERROR_TICKET] = "ticket",
	[DWS_ERROR_SYSTEM] = "system",
	[DWS_ERROR_PEER] = "peer",
};

static const char *const outcome_names[] = {
	[DWS_OUTCOME_COMPLETE] = "complete",
	[DWS_OUTCOME_NOT_RUN] = "not-run",
	[DWS_OUTCOME_UNKNOWN] = "unknown",
};

static const char *const reason_names[DWS_REASON_COUNT] = {
	[DWS_REASON_NONE] = "none",
	[DWS_REASON_BAD_REQUEST] = "bad-request",
	[DWS_REASON_NO_KIND] = "no-kind",
	[DWS_REASON_NO_TICKET] = "no-ticket",
	[DWS_REASON_BAD_TICKET] = "bad-ticket",
	[DWS_REASON_TICKET_EXPIRED] = "ticket-expired",
	[DWS_REASON_TICKET_REUSED] = "ticket-reused",
	[DWS_REASON_HOME_UNREACHABLE] = "home-unreachable",
	[DWS_REASON_NO_PARENT] = "no-parent",
	[DWS_REASON_TOO_DEEP] = "too-deep",
	[DWS_REASON_RETRY_BUDGET] = "retry-budget",
	[DWS_REASON_CUSTOMER_BUDGET] = "customer-budget",
	[DWS_REASON_OVERLOAD] = "overload",
	[DWS_REASON_NO_ENDPOINT] = "no-endpoint",
	[DWS_REASON_DRAINING] = "draining",
	[DWS_REASON_STARTING] = "starting",
	[DWS_REASON_DEADLINE] = "deadline",
	[DWS_REASON_CANCELLED] = "cancelled",
	[DWS_REASON_UPSTREAM_LOST] = "upstream-lost",
	[DWS_REASON_LEDGER_FULL] = "ledger-full",
	[DWS_REASON_TOO_LARGE] = "too-large",
	[DWS_REASON_NO_ROUTE] = "no-route",
	[DWS_REASON_UPSTREAM_SHED] = "upstream-shed",
	[DWS_REASON_MISDIRECTED] = "misdirected",
	[DWS_REASON_DOWNSTREAM_OVERLOAD] = "crowded-below",
};

static const char *const loss_names[DWS_LOSS_COUNT] = {
	[DWS_LOSS_NONE] = "none",
	[DWS_LOSS_CONNECTION] = "connection",
	[DWS_LOSS_TIMEOUT] = "timeout",
	[DWS_LOSS_HEAD_CUT] = "head-cut",
	[DWS_LOSS_BODY_CUT] = "body-cut",
	[DWS_LOSS_MALFORMED] = "malformed",
	[DWS_LOSS_TOO_LARGE] = "too-large",
	[DWS_LOSS_NO_MEMORY] = "no-memory",
	[DWS_LOSS_OTHER_REQUEST] = "other-request",
	[DWS_LOSS_UNNAMED] = "unnamed",
	[DWS_LOSS_UNFRAMED] = "unframed",
	[DWS_LOSS_UNSIGNED] = "unsigned",
	[DWS_LOSS_UNCERTAIN] = "uncertain",
};

/* Returns the name of a value; "unknown-value" if the table has none. */
static const char *name_of(const char *const *names, size_t count,
			   unsigned int value)
{
	if (value >= count || !names[value])
		return "unknown-value";
	return names[value];
}

GQuark dws_error_quark(void)
{
	return g_quark_from_static_string("dogwoodshift");
}

const char *dws_error_name(dws_error_t error)
{
	return name_of(error_names, G_N_ELEMENTS(error_names), error);
}

const char *dws_outcome_name(dws_outcome_t outcome)
{
	return name_of(outcome_names, G_N_ELEMENTS(outcome_names), outcome);
}

const char *dws_reason_name(dws_reason_t reason)
{
	return name_of(reason_names, G_N_ELEMENTS(reason_names), reason);
}

const char *dws_loss_name(dws_loss_t loss)
{
	return name_of(loss_names, G_N_ELEMENTS(loss_names), loss);
}
