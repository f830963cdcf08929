#include "commands.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "client.h"
#include "errors.h"
#include "print.h"

#define FILE_BYTES_MAX (1024 * 1024)

static const struct {
	int status;
	int code;
} codes[] = {
	{ 200, EXIT_OK },      { 400, EXIT_USAGE },	  { 404, EXIT_REFUSED },
	{ 409, EXIT_REFUSED }, { 503, EXIT_UNREACHABLE }, { 504, EXIT_FAILED },
};

static int code_of(int status)
{
	size_t i;

	for (i = 0; i < sizeof(codes) / sizeof(codes[0]); i++)
		if (codes[i].status == status)
			return codes[i].code;
	return EXIT_FAILED;
}

static int report_unreachable(int err, const struct client_response *answer)
{
	if (err == ERR_UNAVAILABLE) {
		fprintf(stderr,
			"catkinhillctl: cannot reach the entry at %s; nothing "
			"was sent. Is it running, and is this its admin "
			"address? Try another one with --entry.\n",
			answer->entry);
		return EXIT_UNREACHABLE;
	}
	fprintf(stderr,
		"catkinhillctl: the entry at %s gave no whole answer (%s); "
		"the outcome is not known. Run 'catkinhillctl status', then "
		"the same command again: a plan is never applied twice.\n",
		answer->entry, error_name(err));
	return EXIT_FAILED;
}

static int report_error(const struct client_response *answer)
{
	const char *name =
		json_string_value(json_object_get(answer->body, "error"));
	const char *message =
		json_string_value(json_object_get(answer->body, "message"));

	fprintf(stderr, "catkinhillctl: %s: %s\n", name ? name : "error",
		message ? message : "the answer is not from an entry");
	if (!name)
		fprintf(stderr, "catkinhillctl: HTTP status %d from %s\n",
			answer->status, answer->entry);
	return code_of(answer->status);
}

/* RETURN VALUE: EXIT_OK and an answer with a body, or another exit code. */
static int call(const struct invocation *invocation, const char *method,
		const char *path, const char *body,
		struct client_response *answer)
{
	int err = client_call(invocation->entries, method, path, body, answer);

	if (err)
		return report_unreachable(err, answer);
	if (answer->status != 200 || !answer->body) {
		int code = report_error(answer);

		client_clear(answer);
		return code ? code : EXIT_FAILED;
	}
	return EXIT_OK;
}

/* RETURN VALUE: newly allocated text, or NULL after a message. */
static char *read_file(const char *path)
{
	FILE *file = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *text;
	size_t len;

	if (!file) {
		fprintf(stderr, "catkinhillctl: %s: cannot be read: %s\n", path,
			strerror(errno));
		return NULL;
	}
	text = g_malloc(FILE_BYTES_MAX + 1);
	len = fread(text, 1, FILE_BYTES_MAX + 1, file);
	if (file != stdin)
		fclose(file);
	if (len > FILE_BYTES_MAX) {
		fprintf(stderr, "catkinhillctl: %s: over 1 MB\n", path);
		g_free(text);
		return NULL;
	}
	text[len] = '\0';
	return text;
}

static int store_plan(const char *path, const json_t *plan)
{
	if (!json_dump_file(plan, path, JSON_INDENT(2) | JSON_PRESERVE_ORDER))
		return EXIT_OK;
	fprintf(stderr, "catkinhillctl: %s: the plan cannot be written: %s\n",
		path, strerror(errno));
	return EXIT_FAILED;
}

static int make_plan(const struct invocation *invocation, const char *intent)
{
	struct client_response answer;
	int code = call(invocation, "POST", "/v1/plan", intent, &answer);

	if (code)
		return code;
	if (invocation->out)
		code = store_plan(invocation->out, answer.body);
	if (!code && invocation->json)
		print_json(answer.body);
	else if (!code)
		print_plan(answer.body, invocation->out);
	client_clear(&answer);
	return code;
}

/* Takes over the reference to intent. */
static int plan_intent(const struct invocation *invocation, json_t *intent)
{
	char *text = json_dumps(intent, JSON_COMPACT);
	int code = make_plan(invocation, text);

	free(text);
	json_decref(intent);
	return code;
}

static int run_plan(const struct command *command,
		    const struct invocation *invocation)
{
	char *text = read_file(invocation->args[0]);
	int code;

	if (!text)
		return EXIT_USAGE;
	code = make_plan(invocation, text);
	g_free(text);
	return code;
}

static int run_domain(const struct command *command,
		      const struct invocation *invocation)
{
	return plan_intent(invocation,
			   json_pack("{s:s, s:s}", "intent", command->name,
				     "domain", invocation->args[0]));
}

static int run_submit(const struct command *command,
		      const struct invocation *invocation)
{
	const char *path = invocation->args[0];
	char *text = read_file(path);
	json_error_t error;
	json_t *job;

	if (!text)
		return EXIT_USAGE;
	job = json_loads(text, JSON_REJECT_DUPLICATES, &error);
	g_free(text);
	if (!job) {
		fprintf(stderr, "catkinhillctl: %s:%d: not JSON: %s\n", path,
			error.line, error.text);
		return EXIT_USAGE;
	}
	return plan_intent(invocation, json_pack("{s:s, s:o}", "intent",
						 "submit", "job", job));
}

static int run_cancel(const struct command *command,
		      const struct invocation *invocation)
{
	return plan_intent(invocation,
			   json_pack("{s:s, s:s}", "intent", "cancel", "job",
				     invocation->args[0]));
}

static int parse_number(const char *text, json_int_t *number)
{
	char *end;

	errno = 0;
	*number = strtoll(text, &end, 10);
	if (*text && !*end && !errno)
		return 0;
	fprintf(stderr, "catkinhillctl: '%s' is not a whole number\n", text);
	return ERR_INVALID;
}

static int run_set_limit(const struct command *command,
			 const struct invocation *invocation)
{
	json_int_t value;

	if (parse_number(invocation->args[1], &value))
		return EXIT_USAGE;
	return plan_intent(invocation,
			   json_pack("{s:s, s:s, s:I}", "intent", "set-limit",
				     "limit", invocation->args[0], "value",
				     value));
}

static int run_unset_limit(const struct command *command,
			   const struct invocation *invocation)
{
	return plan_intent(invocation,
			   json_pack("{s:s, s:s}", "intent", "unset-limit",
				     "limit", invocation->args[0]));
}

static int run_set_quota(const struct command *command,
			 const struct invocation *invocation)
{
	json_int_t amounts[3];
	int i;

	for (i = 0; i < 3; i++)
		if (parse_number(invocation->args[i + 1], &amounts[i]))
			return EXIT_USAGE;
	return plan_intent(invocation,
			   json_pack("{s:s, s:s, s:I, s:I, s:I}", "intent",
				     "set-quota", "team", invocation->args[0],
				     "cpu_milli", amounts[0], "mem_mb",
				     amounts[1], "accel", amounts[2]));
}

static int run_unset_quota(const struct command *command,
			   const struct invocation *invocation)
{
	return plan_intent(invocation,
			   json_pack("{s:s, s:s}", "intent", "unset-quota",
				     "team", invocation->args[0]));
}

static int run_confirm(const struct command *command,
		       const struct invocation *invocation)
{
	char *text = read_file(invocation->args[0]);
	struct client_response answer;
	int code;

	if (!text)
		return EXIT_USAGE;
	code = call(invocation, "POST", "/v1/confirm", text, &answer);
	g_free(text);
	if (code)
		return code;
	if (invocation->json)
		print_json(answer.body);
	else
		printf("%s: %s\n",
		       json_string_value(
			       json_object_get(answer.body, "result")),
		       json_string_value(
			       json_object_get(answer.body, "message")));
	client_clear(&answer);
	return EXIT_OK;
}

static int show(const struct invocation *invocation, const char *path,
		void (*print)(const json_t *value))
{
	struct client_response answer;
	int code = call(invocation, "GET", path, NULL, &answer);

	if (code)
		return code;
	if (invocation->json)
		print_json(answer.body);
	else
		print(answer.body);
	client_clear(&answer);
	return EXIT_OK;
}

static int run_status(const struct command *command,
		      const struct invocation *invocation)
{
	return show(invocation, "/v1/status", print_status);
}

static int run_config(const struct command *command,
		      const struct invocation *invocation)
{
	return show(invocation, "/v1/config", print_config);
}

static int run_jobs(const struct command *command,
		    const struct invocation *invocation)
{
	return show(invocation, "/v1/jobs", print_value);
}

static int run_explain(const struct command *command,
		       const struct invocation *invocation)
{
	const char *kind = invocation->args[0];
	char *id, *path;
	int code;

	if (strcmp(kind, "request") && strcmp(kind, "job")) {
		fprintf(stderr,
			"catkinhillctl: explain '%s': allowed: request ID or "
			"job ID\n",
			kind);
		return EXIT_USAGE;
	}
	id = g_uri_escape_string(invocation->args[1], NULL, FALSE);
	path = g_strdup_printf("/v1/explain/%s/%s", kind, id);
	code = show(invocation, path, print_value);
	g_free(path);
	g_free(id);
	return code;
}

static int run_watch(const struct command *command,
		     const struct invocation *invocation)
{
	json_t *before = NULL;
	int code = EXIT_OK;
	int polls = 0;

	while (!code && (!invocation->count || polls < invocation->count)) {
		struct client_response answer;

		if (polls++)
			g_usleep((gulong)invocation->interval_ms * 1000);
		code = call(invocation, "GET", "/v1/status", NULL, &answer);
		if (code)
			break;
		if (invocation->json)
			print_json(answer.body);
		else
			print_status_changes(before, answer.body);
		json_decref(before);
		before = answer.body;
	}
	json_decref(before);
	return code;
}

#define PLANNED                                                                \
	"Makes a plan and prints what would move. Nothing is changed; with "   \
	"--out FILE the plan is stored for 'confirm'.\n"

static const struct command table[] = {
	{ "status", "", 0, 0, run_status, "domains and VMs of the system",
	  "Shows what the entry knows: the version of the configuration, "
	  "domains with their VMs, requests and streams, and every agent.\n" },
	{ "config", "", 0, 0, run_config, "limits, quotas and last changes",
	  "Shows the live configuration with the range and unit of every "
	  "limit.\n" },
	{ "jobs", "", 0, 0, run_jobs, "batch jobs",
	  "Shows the jobs of the partitions that this entry owns.\n" },
	{ "explain", "request|job ID", 2, 2, run_explain,
	  "why something was decided",
	  "Shows what was decided about a request or a job, why, and which "
	  "alternatives there were.\n" },
	{ "watch", "", 0, 0, run_watch, "follow changes",
	  "Prints a line for each change of the configuration, a domain or an "
	  "agent. --count N ends after N polls, --interval-ms sets their "
	  "distance.\n" },
	{ "drain", "DOMAIN", 1, 1, run_domain, "plan: move work off a domain",
	  PLANNED "Once confirmed, upstreams of the domain get no new "
		  "requests, streams move, and tasks are evicted with a "
		  "checkpoint.\n" },
	{ "undrain", "DOMAIN", 1, 1, run_domain, "plan: use a domain again",
	  PLANNED },
	{ "submit", "FILE", 1, 1, run_submit, "plan: run a batch job",
	  PLANNED "FILE holds the job as JSON, such as\n"
		  "  {\"job\": \"j1\", \"team\": \"returns\", \"urgent\": "
		  "false,\n   \"cpu_milli\": 2000, \"mem_mb\": 1024, "
		  "\"accel\": 0,\n   \"command\": \"reconcile 2026-48\"}\n" },
	{ "cancel", "JOB", 1, 1, run_cancel, "plan: stop a batch job",
	  PLANNED },
	{ "set-limit", "NAME VALUE", 2, 2, run_set_limit,
	  "plan: change a limit",
	  PLANNED "'catkinhillctl config' lists the limits.\n" },
	{ "unset-limit", "NAME", 1, 1, run_unset_limit,
	  "plan: back to the initial value", PLANNED },
	{ "set-quota", "TEAM CPU_MILLI MEM_MB ACCEL", 4, 4, run_set_quota,
	  "plan: bound what a team's jobs use", PLANNED },
	{ "unset-quota", "TEAM", 1, 1, run_unset_quota,
	  "plan: remove a team's bound", PLANNED },
	{ "plan", "FILE", 1, 1, run_plan, "plan: from an intent in a file",
	  PLANNED "FILE holds the intent as JSON, such as {\"intent\": "
		  "\"drain\", \"domain\": \"a1\"}; '-' reads standard "
		  "input.\n" },
	{ "confirm", "FILE", 1, 1, run_confirm, "carry out a stored plan",
	  "Confirms a plan that was stored with --out. It is refused, with "
	  "the reason, when the configuration has changed since. Confirming "
	  "twice changes nothing the second time.\n" },
	{ NULL },
};

const struct command *command_table(void)
{
	return table;
}

const struct command *command_find(const char *name)
{
	const struct command *command;

	for (command = table; command->name; command++)
		if (!strcmp(command->name, name))
			return command;
	return NULL;
}
