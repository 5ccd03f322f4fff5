/*
 * Unit tests of compression: a round trip, and input that is refused.
 */
#include "connection/compress.h"
#include "support/suite.h"

#include <glib.h>
#include <string.h>

#define PLAIN_MAX_BYTES 100000

static void test_round_trip(void)
{
	GString *text = g_string_new(NULL);
	size_t size_bytes = 0;

	for (int i = 0; i < 500; i++)
		g_string_append_printf(text, "{id: vm-%d, state: live}, ", i);
	uint8_t *data = dws_compress(text->str, text->len, &size_bytes);

	CU_ASSERT_PTR_NOT_NULL_FATAL(data);
	CU_ASSERT(size_bytes < text->len / 4);
	char *plain =
		dws_decompress(data, size_bytes, text->len, PLAIN_MAX_BYTES);

	CU_ASSERT_PTR_NOT_NULL_FATAL(plain);
	CU_ASSERT_STRING_EQUAL(plain, text->str);
	g_free(plain);
	/*
	 * Truncated, longer or shorter than the given size, larger than the
	 * limit, corrupted.
	 */
	CU_ASSERT_PTR_NULL(dws_decompress(data, size_bytes - 1, text->len,
					  PLAIN_MAX_BYTES));
	CU_ASSERT_PTR_NULL(dws_decompress(data, size_bytes, text->len - 1,
					  PLAIN_MAX_BYTES));
	CU_ASSERT_PTR_NULL(dws_decompress(data, size_bytes, text->len + 1,
					  PLAIN_MAX_BYTES));
	CU_ASSERT_PTR_NULL(
		dws_decompress(data, size_bytes, text->len, text->len - 1));
	data[size_bytes / 2] ^= 0x55;
	CU_ASSERT_PTR_NULL(
		dws_decompress(data, size_bytes, text->len, PLAIN_MAX_BYTES));
	g_free(data);
	g_string_free(text, TRUE);
}

static void test_incompressible_text(void)
{
	size_t size_bytes = 0;

	CU_ASSERT_PTR_NULL(dws_compress("abc", 3, &size_bytes));
}

int main(void)
{
	static const suite_test_t tests[] = {
		{"round trip", test_round_trip},
		{"incompressible", test_incompressible_text},
		{NULL, NULL},
	};

	return suite_main("compression", tests);
}
