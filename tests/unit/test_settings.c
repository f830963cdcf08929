#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "errors.h"
#include "settings.h"

#define DAEMON_SECTION "[daemon]\nid = e1\nregion = a\ndomain = a1\n"
#define ENTRY_SETTINGS                                                         \
	DAEMON_SECTION "role = entry\n[listen]\ncallers = 127.0.0.1:80\n"      \
		       "peers = 127.0.0.1:81\nadmin = 127.0.0.1:82\n"
#define AGENT_SETTINGS                                                         \
	DAEMON_SECTION                                                         \
	"role = agent\n[listen]\nadmin = 127.0.0.1:82\n[agent]\n"              \
	"service = stock\nupstream = 127.0.0.1:1\ntasks = "                    \
	"127.0.0.1:2\n"

static char path[] = "/tmp/test_settings_XXXXXX";

static int load(struct settings *settings, const char *text, char *message,
		size_t size)
{
	FILE *file = fopen(path, "w");

	assert_non_null(file);
	fputs(text, file);
	fclose(file);
	return settings_load(settings, path, message, size);
}

static void test_valid_files(void **state)
{
	struct settings settings;
	char message[512] = "";

	assert_int_equal(
		load(&settings, ENTRY_SETTINGS, message, sizeof(message)), 0);
	assert_int_equal(settings.role, ROLE_ENTRY);
	assert_int_equal(settings.stop_ms, 30000);
	assert_int_equal(settings.log_level, LOG_INFO);
	assert_string_equal(settings.callers, "127.0.0.1:80");
	assert_string_equal(settings.rack, "none");
	assert_string_equal(settings.store_address, "");
	assert_int_equal(load(&settings,
			      AGENT_SETTINGS
			      "seeds = 127.0.0.1:5, 127.0.0.1:6 ; two\n"
			      "; a comment\nslots = 2\n",
			      message, sizeof(message)),
			 0);
	assert_int_equal(settings.seed_count, 2);
	assert_string_equal(settings.seeds[1], "127.0.0.1:6");
	assert_int_equal(settings.slots, 2);
	assert_int_equal(settings.connections, 64);
}

/* Guards against a typing error that silently selects the default. */
static void test_invalid_files(void **state)
{
	static const struct {
		const char *text;
		const char *line; /* "" if the error has no line */
		const char *expected;
	} cases[] = {
		{ "", "",
		  "daemon.role: missing; allowed: entry, agent, gateway "
		  "or runner" },
		{ "[daemon]\nrole = king\n",
		  ":2:", "entry, agent, gateway or runner" },
		{ ENTRY_SETTINGS "slots = 8\n",
		  ":10:", "listen.slots: unknown key" },
		{ ENTRY_SETTINGS "[agents]\nslots = 8\n",
		  ":11:", "unknown section [agents]" },
		{ ENTRY_SETTINGS "[agent]\nslots = 8\n",
		  ":11:", "agent.slots: not allowed with role = entry" },
		{ ENTRY_SETTINGS "admin = 127.0.0.1:83\n",
		  ":10:", "given twice, first on line 9" },
		{ ENTRY_SETTINGS "[daemon]\nstop_ms = -1\n", ":11:",
		  "daemon.stop_ms: '-1' is not allowed; allowed: a whole "
		  "number from 0 to 600000 (ms)" },
		{ ENTRY_SETTINGS "[daemon]\nstop_ms = 1s\n", ":11:", "'1s'" },
		{ ENTRY_SETTINGS "[daemon]\nstop_ms = 99999999999999999999\n",
		  ":11:", "stop_ms" },
		{ ENTRY_SETTINGS "[daemon]\nlog_level = loud\n",
		  ":11:", "error, warn, info or debug" },
		{ ENTRY_SETTINGS "[store]\naddress = localhost:1\n",
		  ":11:", "store.address: 'localhost:1'" },
		{ ENTRY_SETTINGS "[store]\naddress = 127.0.0.1:0\n",
		  ":11:", "store.address" },
		{ ENTRY_SETTINGS "[store]\naddress = 127.0.0.1\n",
		  ":11:", "store.address" },
		{ ENTRY_SETTINGS "nonsense\n", ":10:", "not a section" },
		{ DAEMON_SECTION "role = entry\n", "",
		  "listen.callers: missing" },
		{ AGENT_SETTINGS, "", "agent.seeds: missing" },
		{ AGENT_SETTINGS "seeds =\n", ":12:", "agent.seeds" },
		{ AGENT_SETTINGS "seeds = 127.0.0.1:1 x\n",
		  ":12:", "1 to 8 addresses" },
		{ "[daemon]\nid = a b\n", ":2:", "daemon.id: 'a b'" },
		{ "[daemon]\nregion = abcdefghijklmnopqrstuvwxyz0123456789\n",
		  ":2:", "1 to 31" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct settings settings;
		char message[512] = "";
		int err = load(&settings, cases[i].text, message,
			       sizeof(message));

		if (err != ERR_INVALID || !strstr(message, cases[i].expected) ||
		    !strstr(message, cases[i].line) ||
		    strncmp(message, path, strlen(path)))
			fail_msg("case %zu: %s", i, message);
	}
}

/* Guards against parsing the rest of a long line as another key. */
static void test_long_line(void **state)
{
	struct settings settings;
	char text[1024];
	char message[512] = "";

	snprintf(text, sizeof(text), "[daemon]\nid = %0300d\n", 1);
	assert_int_equal(load(&settings, text, message, sizeof(message)),
			 ERR_INVALID);
	assert_non_null(strstr(message, ":2: line too long"));
}

static void test_missing_file(void **state)
{
	struct settings settings;
	char message[512] = "";

	assert_int_equal(settings_load(&settings, "/nonexistent/x.ini", message,
				       sizeof(message)),
			 ERR_INVALID);
	assert_non_null(strstr(message, "cannot be read"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_files),
		cmocka_unit_test(test_invalid_files),
		cmocka_unit_test(test_long_line),
		cmocka_unit_test(test_missing_file),
	};
	int fd = mkstemp(path);
	int failed;

	if (fd < 0)
		return 1;
	close(fd);
	failed = cmocka_run_group_tests(tests, NULL, NULL);
	unlink(path);
	return failed;
}
