#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "errors.h"
#include "history.h"

/*
 * Histories, as records separated by newlines, each with the only rule that it
 * violates, or 0. They guard against a checker that misses a violation, reports
 * a valid history, or reports the wrong rule.
 */
static const struct {
	const char *name;
	int rule;
	const char *records;
} cases[] = {
	{ "usage at the limit", 0,
	  "{'kind':'usage','who':'w','used':[8,64,1,1,0],"
	  "'limit':[8,64,1,1,0]}" },
	{ "one slot too many", RULE_CAPACITY,
	  "{'kind':'usage','who':'w','used':[9,9,0,0,0],"
	  "'limit':[8,64,1,1,0]}" },
	{ "one accelerator too many", RULE_CAPACITY,
	  "{'kind':'usage','who':'w','used':[0,0,0,0,1],"
	  "'limit':[8,64,1,1,0]}" },
	{ "second run after the first stopped", 0,
	  "{'kind':'task-start','t':1,'id':'j','who':'a','run':1}\n"
	  "{'kind':'task-stop','t':5,'id':'j','who':'a','run':1}\n"
	  "{'kind':'task-start','t':6,'id':'j','who':'b','run':2}" },
	{ "records out of order", 0,
	  "{'kind':'task-start','t':6,'id':'j','who':'b','run':2}\n"
	  "{'kind':'task-start','t':1,'id':'j','who':'a','run':1}\n"
	  "{'kind':'task-stop','t':5,'id':'j','who':'a','run':1}" },
	{ "runs at two agents at once", RULE_SINGLE_RUN,
	  "{'kind':'task-start','t':1,'id':'j','who':'a','run':1}\n"
	  "{'kind':'task-start','t':4,'id':'j','who':'b','run':2}\n"
	  "{'kind':'task-stop','t':5,'id':'j','who':'a','run':1}" },
	{ "two runs at one agent at once", RULE_SINGLE_RUN,
	  "{'kind':'task-start','t':1,'id':'j','who':'a','run':1}\n"
	  "{'kind':'task-start','t':4,'id':'j','who':'a','run':2}" },
	{ "stop of another run", RULE_SINGLE_RUN,
	  "{'kind':'task-start','t':1,'id':'j','who':'a','run':2}\n"
	  "{'kind':'task-stop','t':2,'id':'j','who':'a','run':1}\n"
	  "{'kind':'task-start','t':4,'id':'j','who':'b','run':3}" },
	{ "resumed once", 0,
	  "{'kind':'task-effect','t':1,'id':'j','run':1,'step':0}\n"
	  "{'kind':'task-effect','t':3,'id':'j','run':2,'step':1}\n"
	  "{'kind':'job-end','t':4,'id':'j','outcome':'done','step':2}" },
	{ "step twice", RULE_STEPS_ONCE,
	  "{'kind':'task-effect','t':1,'id':'j','run':1,'step':0}\n"
	  "{'kind':'task-effect','t':3,'id':'j','run':2,'step':0}" },
	{ "step skipped", RULE_STEPS_ONCE,
	  "{'kind':'task-effect','t':1,'id':'j','run':1,'step':0}\n"
	  "{'kind':'task-effect','t':3,'id':'j','run':2,'step':2}\n"
	  "{'kind':'job-end','t':4,'id':'j','outcome':'done','step':3}" },
	{ "last step missing", RULE_STEPS_ONCE,
	  "{'kind':'task-effect','t':1,'id':'j','run':1,'step':0}\n"
	  "{'kind':'job-end','t':4,'id':'j','outcome':'done','step':2}" },
	{ "ended twice", RULE_STEPS_ONCE,
	  "{'kind':'job-end','t':4,'id':'j','outcome':'done'}\n"
	  "{'kind':'job-end','t':5,'id':'j','outcome':'failed'}" },
	{ "response of the request itself", 0,
	  "{'kind':'invoke','t':1,'id':'r'}\n"
	  "{'kind':'execute','t':2,'id':'r','who':'u','digest':'d'}\n"
	  "{'kind':'answer','t':3,'id':'r','outcome':'done','complete':1,"
	  "'digest':'d'}" },
	{ "response of another request", RULE_MATCHING_RESPONSE,
	  "{'kind':'execute','t':2,'id':'r','who':'u','digest':'d'}\n"
	  "{'kind':'execute','t':2,'id':'s','who':'u','digest':'e'}\n"
	  "{'kind':'answer','t':3,'id':'r','outcome':'done','complete':1,"
	  "'digest':'e'}" },
	{ "two responses", RULE_MATCHING_RESPONSE,
	  "{'kind':'answer','t':3,'id':'r','outcome':'not-run',"
	  "'complete':1}\n"
	  "{'kind':'answer','t':4,'id':'r','outcome':'not-run',"
	  "'complete':1}" },
	{ "not run and not executed", 0,
	  "{'kind':'answer','t':3,'id':'r','outcome':'not-run',"
	  "'complete':1}" },
	{ "not run but executed", RULE_NOT_RUN,
	  "{'kind':'answer','t':3,'id':'r','outcome':'not-run',"
	  "'complete':1}\n"
	  "{'kind':'execute','t':9,'id':'r','who':'u'}" },
	{ "unknown outcome and executed", 0,
	  "{'kind':'fault','t':1,'who':'u'}\n"
	  "{'kind':'execute','t':2,'id':'r','key':'k','who':'u'}\n"
	  "{'kind':'answer','t':3,'id':'r','outcome':'unknown',"
	  "'complete':1}" },
	{ "key executed twice", RULE_AT_MOST_ONCE,
	  "{'kind':'execute','t':2,'id':'r','key':'k','who':'u'}\n"
	  "{'kind':'execute','t':3,'id':'s','key':'k','who':'v'}" },
	{ "request without a key executed twice", 0,
	  "{'kind':'execute','t':2,'id':'r','who':'u'}\n"
	  "{'kind':'execute','t':3,'id':'r','who':'v'}" },
	{ "execution soon after leaving", 0,
	  "{'kind':'leaving','t':1000,'who':'u'}\n"
	  "{'kind':'execute','t':3000,'id':'r','who':'u'}" },
	{ "execution after a restart", 0,
	  "{'kind':'leaving','t':1000,'who':'u'}\n"
	  "{'kind':'process-start','t':4000,'who':'u'}\n"
	  "{'kind':'execute','t':5000,'id':'r','who':'u'}" },
	{ "execution long after leaving", RULE_NO_WORK_WHEN_LEAVING,
	  "{'kind':'leaving','t':1000,'who':'u'}\n"
	  "{'kind':'execute','t':3001,'id':'r','who':'u'}" },
	{ "truncated after a fault", 0,
	  "{'kind':'fault','t':1,'who':'u'}\n"
	  "{'kind':'answer','t':3,'id':'r','outcome':'done',"
	  "'complete':0}" },
	{ "truncated without a fault", RULE_NO_ABORT,
	  "{'kind':'answer','t':3,'id':'r','outcome':'done',"
	  "'complete':0}" },
	{ "version increases", 0,
	  "{'kind':'config-accepted','t':0,'version':2}\n"
	  "{'kind':'process-start','t':0,'who':'p'}\n"
	  "{'kind':'config-seen','t':9000,'who':'p','version':2}\n"
	  "{'kind':'process-end','t':30000,'who':'p'}" },
	{ "version decreases", RULE_CONFIG_VERSIONS,
	  "{'kind':'config-seen','t':1,'who':'p','version':2}\n"
	  "{'kind':'config-seen','t':2,'who':'p','version':1}" },
	{ "version seen too late", RULE_CONFIG_VERSIONS,
	  "{'kind':'process-start','t':0,'who':'p'}\n"
	  "{'kind':'config-accepted','t':1,'version':2}\n"
	  "{'kind':'config-seen','t':15002,'who':'p','version':2}" },
	{ "process ended before the bound", 0,
	  "{'kind':'process-start','t':0,'who':'p'}\n"
	  "{'kind':'config-accepted','t':1,'version':2}\n"
	  "{'kind':'process-end','t':9000,'who':'p'}\n"
	  "{'kind':'fault','t':20000,'who':'p'}" },
};

static void add_records(struct history *history, const char *records)
{
	char *text = strdup(records), *rest = text, *line, *quote;

	while ((quote = strchr(text, '\'')))
		*quote = '"';
	while ((line = strsep(&rest, "\n")))
		assert_int_equal(history_add(history, line, strlen(line)), 0);
	free(text);
}

static void record_violation(void *arg, enum history_rule rule,
			     const char *text)
{
	unsigned int *rules = arg;

	*rules |= 1U << rule;
}

static void test_rules(void **state)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct history *history = history_new();
		unsigned int rules = 0, expected = 0;

		if (cases[i].rule)
			expected = 1U << cases[i].rule;
		add_records(history, cases[i].records);
		history_check(history, record_violation, &rules);
		if (rules != expected)
			fail_msg("%s: rules %#x, expected %#x", cases[i].name,
				 rules, expected);
		history_delete(history);
	}
}

/* Guards against invalid records that are skipped without an error. */
static void test_bad_records(void **state)
{
	static const struct {
		const char *json;
		int err;
	} bad_records[] = {
		{ "", ERR_MALFORMED },
		{ "[]", ERR_MALFORMED },
		{ "{}", ERR_MALFORMED },
		{ "{\"kind\":\"other\"}", ERR_INVALID },
		{ "{\"kind\":\"invoke\",\"id\":7}", ERR_MALFORMED },
		{ "{\"kind\":\"invoke\",\"t\":\"7\"}", ERR_MALFORMED },
		{ "{\"kind\":\"usage\",\"used\":[1]}", ERR_MALFORMED },
	};
	struct history *history = history_new();
	size_t i;

	for (i = 0; i < sizeof(bad_records) / sizeof(bad_records[0]); i++)
		assert_int_equal(history_add(history, bad_records[i].json,
					     strlen(bad_records[i].json)),
				 bad_records[i].err);
	assert_int_equal(history_length(history), 0);
	history_delete(history);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rules),
		cmocka_unit_test(test_bad_records),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
