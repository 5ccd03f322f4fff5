# Evaluates a run of scripts/measure. Reads the table of kinds, the start offsets
# of the callers, a line per request from each caller and a line per execution
# event from each upstream. Prints a summary line and appends a row per kind and
# phase.
#
# Times are in seconds since the start of the load. A request is counted in the
# phase and interval in which it was sent; goodput counts responses in the phase
# in which they arrived.

BEGIN {
	BIN_S = 0.5
	STEP_MS = 0.02 # resolution of quantiles
	WARM_UP_S = 2
	RECOVERY_SHARE = 0.99 # of the completed share before the disturbance
	RECOVERY_BINS = 3 # consecutive bins required for recovery
}

FILENAME ~ /\/kinds$/ {
	kinds++
	name[kinds] = $1
	method[kinds] = $2
	prefix[kinds] = "/" $3 ($4 == "/" ? "" : $4)
	priority[kinds] = $5
	worth[kinds] = $6
	budget[kinds] = $7
	next
}

FILENAME ~ /\/offsets$/ { offset_s[$1] = $2 / 1000; next }

FILENAME ~ /\.csv$/ {
	source = FILENAME
	gsub(/.*\/|\.csv$/, "", source)
	split($0, column, ",")
	at_s = column[1] / 1e6 + offset_s[source]
	sub(/-[0-9]+$/, "", source)
	count_request(source, at_s, column[2] / 1000, column[3], column[4],
		      column[5], column[8])
	next
}

# Fields: start identity call method target customer
FILENAME ~ /\.record$/ && $1 == "start" {
	order = $5
	sub(/.*order=/, "", order)
	executions++
	execution_count[order]++
	if ($4 != "GET" && ++write_count[order, $5] == 2)
		repeated_writes++
}

function kind_of(verb, path,    i, best) {
	for (i = 1; i <= kinds; i++) {
		if (method[i] == verb && index(path, prefix[i]) == 1 &&
			(!best || length(prefix[i]) > length(prefix[best])))
			best = i
	}
	return best
}

function phase_of(at_s) {
	if (at_s < WARM_UP_S)
		return "warm-up"
	if (at_s < from_s)
		return "before"
	return at_s < to_s ? "during" : "after"
}

function count_request(source, at_s, latency_ms, call, status, outcome,
		       body_complete,    part, kind, key, completed, order, bin) {
	split(call, part, " ")
	order = part[2]
	sub(/\?.*/, "", part[2])
	kind = kind_of(part[1], part[2])
	sub(/.*order=/, "", order)
	root[order] = kind
	roots++
	completed = status == 200 && body_complete == 1 &&
		(outcome == "complete" || source == "direct")
	key = source SUBSEP (duration_s ? phase_of(at_s) : "all") SUBSEP kind
	sent[key]++
	outcomes[key, completed ? "complete" : outcome == "complete" ? "failed" : \
		outcome == "" ? "lost" : outcome]++
	if (completed) {
		worth_completed[phase_of(at_s + latency_ms / 1000)] += worth[kind]
		bin = int(latency_ms / STEP_MS)
		times[key, bin]++
		if (bin > max_bin[key])
			max_bin[key] = bin
	}
	if (source == "base") {
		bin = int(at_s / BIN_S)
		worth_sent[bin] += worth[kind]
		worth_done[bin] += completed * worth[kind]
	}
}

function quantile_ms(key, share,    target_count, cumulative, bin) {
	target_count = share * outcomes[key, "complete"]
	for (bin = 0; bin <= max_bin[key]; bin++) {
		cumulative += times[key, bin]
		if (cumulative >= target_count && cumulative > 0)
			return (bin + 0.5) * STEP_MS
	}
	return 0
}

# Returns the share of requests, weighted by worth, that completed, for kinds of
# priority low to high.
function completed_share(sources, phase, low, high,    k, source, list, n, i,
			 s, c, key) {
	n = split(sources, list, " ")
	for (i = 1; i <= n; i++) {
		for (k = 1; k <= kinds; k++) {
			key = list[i] SUBSEP phase SUBSEP k
			if (!(key in sent) || priority[k] < low ||
				priority[k] > high)
				continue
			s += sent[key] * worth[k]
			c += outcomes[key, "complete"] * worth[k]
		}
	}
	return s ? c / s : 0
}

# Returns the worth of completed requests per second, by time of response.
function goodput(phase, seconds) {
	return worth_completed[phase] / seconds
}

# Returns the seconds from the end of the disturbance until the completed share
# has recovered; -1 if it does not.
function recovery_s(    before, bin, run) {
	before = completed_share("base", "before", 0, 255)
	for (bin = int(to_s / BIN_S); bin < duration_s / BIN_S; bin++) {
		run = worth_done[bin] >= RECOVERY_SHARE * before * worth_sent[bin] ? \
			run + 1 : 0
		if (run == RECOVERY_BINS)
			return (bin + 1 - RECOVERY_BINS) * BIN_S - to_s
	}
	return -1
}

# Returns the number of requests with more executions than their kind and its
# retry budget allow; a booking has three nested calls. Sets most to the largest
# number of executions of a request.
function count_over_bound(    order, k, bound, count) {
	for (order in execution_count) {
		if (execution_count[order] > most)
			most = execution_count[order]
		k = root[order]
		bound = 1 + budget[k]
		if (name[k] == "confirm-booking")
			bound += 3
		if (method[k] == "GET")
			bound *= 1 + retries
		count += k && execution_count[order] > bound
	}
	return count
}

function write_rows(    key, part, k, line) {
	for (key in sent) {
		split(key, part, SUBSEP)
		k = part[3]
		line = sprintf("%s,%s,%d,%s,%s,%s,%d,%d", scenario, policy,
			seed, part[1], part[2], name[k], priority[k], worth[k])
		line = line sprintf(",%d,%d,%d,%d,%d,%d,%.2f,%.2f", sent[key],
			outcomes[key, "complete"], outcomes[key, "not-run"],
			outcomes[key, "unknown"], outcomes[key, "failed"],
			outcomes[key, "lost"], quantile_ms(key, 0.5),
			quantile_ms(key, 0.99))
		print line >>rows
	}
}

function print_latency(    n, list, i, key) {
	n = split("direct local remote", list, " ")
	printf "%-9s %-8s seed=%d", scenario, policy, seed
	for (i = 1; i <= n; i++) {
		key = list[i] SUBSEP "all" SUBSEP kind_of("GET", "/portfolios/list")
		printf " | %s p50_ms %.2f p99_ms %.2f", list[i],
			quantile_ms(key, 0.5), quantile_ms(key, 0.99)
	}
	printf "\n"
}

END {
	write_rows()
	if (scenario == "latency") {
		print_latency()
		exit
	}
	over = count_over_bound()
	printf "%-9s %-8s seed=%d goodput/s %5.0f %5.0f %5.0f", scenario,
		policy, seed, goodput("before", from_s - WARM_UP_S),
		goodput("during", to_s - from_s),
		goodput("after", duration_s - to_s)
	printf " | during: urgent %.4f browsing %.4f flood %.4f",
		completed_share("base", "during", 1, 255),
		completed_share("base", "during", 0, 0),
		completed_share("flood", "during", 0, 255)
	printf " | recovery_s %.1f | executions/request %.3f most %d over %d twice %d\n",
		recovery_s(), roots ? executions / roots : 0, most, over,
		repeated_writes
}
