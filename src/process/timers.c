/*
 * Timers of a node, in a binary heap ordered by due time.
 */
#include "process/timers.h"

static dws_timer_t *at(const dws_timers_t *timers, uint32_t index)
{
	return &g_array_index(timers->heap, dws_timer_t, index);
}

static void swap(dws_timers_t *timers, uint32_t a, uint32_t b)
{
	dws_timer_t saved = *at(timers, a);

	*at(timers, a) = *at(timers, b);
	*at(timers, b) = saved;
}

static void sift_up(dws_timers_t *timers, uint32_t index)
{
	while (index > 0) {
		uint32_t parent = (index - 1) / 2;

		if (at(timers, parent)->due_us <= at(timers, index)->due_us)
			return;
		swap(timers, parent, index);
		index = parent;
	}
}

static void sift_down(dws_timers_t *timers, uint32_t index)
{
	for (;;) {
		uint32_t earliest = index;
		uint32_t child = 2 * index + 1;

		for (uint32_t i = child; i < child + 2; i++) {
			if (i < timers->heap->len &&
			    at(timers, i)->due_us <
				    at(timers, earliest)->due_us)
				earliest = i;
		}
		if (earliest == index)
			return;
		swap(timers, earliest, index);
		index = earliest;
	}
}

/* Initializes caller-provided memory with an empty heap. */
void dws_timers_init(dws_timers_t *timers)
{
	timers->heap = g_array_new(false, false, sizeof(dws_timer_t));
}

void dws_timers_finish(dws_timers_t *timers)
{
	g_array_free(timers->heap, true);
}

void dws_timers_add(dws_timers_t *timers, const dws_timer_t *timer)
{
	g_array_append_val(timers->heap, *timer);
	sift_up(timers, timers->heap->len - 1);
}

bool dws_timers_pop(dws_timers_t *timers, int64_t now_us, dws_timer_t *timer)
{
	if (timers->heap->len == 0 || at(timers, 0)->due_us > now_us)
		return false;
	*timer = *at(timers, 0);
	swap(timers, 0, timers->heap->len - 1);
	g_array_set_size(timers->heap, timers->heap->len - 1);
	sift_down(timers, 0);
	return true;
}

int64_t dws_timers_next_us(const dws_timers_t *timers)
{
	return timers->heap->len ? at(timers, 0)->due_us : DWS_NEVER_US;
}
