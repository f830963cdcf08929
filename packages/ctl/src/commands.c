#include "commands.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "check.h"
#include "client.h"
#include "errors.h"
#include "print.h"

#define FILE_BYTES_MAX (1024 * 1024)

static const struct {
	int status;
	int code;
} exit_codes[] = {
	{ 200, EXIT_OK },      { 400, EXIT_USAGE },	  { 404, EXIT_REFUSED },
	{ 409, EXIT_REFUSED }, { 503, EXIT_UNREACHABLE }, { 504, EXIT_FAILED },
};

static int exit_code_of(int status)
{
	size_t i;

	for (i = 0; i < sizeof(exit_codes) / sizeof(exit_codes[0]); i++)
		if (exit_codes[i].status == status)
			return exit_codes[i].code;
	return EXIT_FAILED;
}

static int report_call_failure(int err, const struct client_response *response)
{
	if (err == ERR_UNAVAILABLE) {
		fprintf(stderr,
			"catkinhillctl: cannot reach the entry at %s; nothing "
			"was sent. Is it running, and is this its admin "
			"address? Try another one with --entry.\n",
			response->entry);
		return EXIT_UNREACHABLE;
	}
	fprintf(stderr,
		"catkinhillctl: no complete response from the entry at %s "
		"(%s): outcome unknown. Run 'catkinhillctl status', then "
		"the same command again: a plan is never applied twice.\n",
		response->entry, error_name(err));
	return EXIT_FAILED;
}

static int report_error_response(const struct client_response *response)
{
	const char *name =
		json_string_value(json_object_get(response->body, "error"));
	const char *message =
		json_string_value(json_object_get(response->body, "message"));

	fprintf(stderr, "catkinhillctl: %s: %s\n", name ? name : "error",
		message ? message : "the response does not come from an entry");
	if (!name)
		fprintf(stderr, "catkinhillctl: HTTP status %d from %s\n",
			response->status, response->entry);
	return exit_code_of(response->status);
}

/* RETURN VALUE: EXIT_OK and a response with a body, or another exit code. */
static int call_entry(const struct invocation *invocation, const char *method,
		      const char *path, const char *body,
		      struct client_response *response)
{
	int err =
		client_call(invocation->entries, method, path, body, response);

	if (err)
		return report_call_failure(err, response);
	if (response->status != 200 || !response->body) {
		int code = report_error_response(response);

		client_clear(response);
		return code ? code : EXIT_FAILED;
	}
	return EXIT_OK;
}

/* RETURN VALUE: newly allocated text, or NULL after an error message. */
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
		fprintf(stderr, "catkinhillctl: %s: larger than 1 MB\n", path);
		g_free(text);
		return NULL;
	}
	text[len] = '\0';
	return text;
}

static int write_plan_file(const char *path, const json_t *plan)
{
	if (!json_dump_file(plan, path, JSON_INDENT(2) | JSON_PRESERVE_ORDER))
		return EXIT_OK;
	fprintf(stderr, "catkinhillctl: %s: the plan cannot be written: %s\n",
		path, strerror(errno));
	return EXIT_FAILED;
}

static int make_plan(const struct invocation *invocation, const char *intent)
{
	struct client_response response;
	int code =
		call_entry(invocation, "POST", "/v1/plan", intent, &response);

	if (code)
		return code;
	if (invocation->out)
		code = write_plan_file(invocation->out, response.body);
	if (!code && invocation->json)
		print_json(response.body);
	else if (!code)
		print_plan(response.body, invocation->out);
	client_clear(&response);
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

static int run_domain_intent(const struct command *command,
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
	struct client_response response;
	int code;

	if (!text)
		return EXIT_USAGE;
	code = call_entry(invocation, "POST", "/v1/confirm", text, &response);
	g_free(text);
	if (code)
		return code;
	if (invocation->json)
		print_json(response.body);
	else
		printf("%s: %s\n",
		       json_string_value(
			       json_object_get(response.body, "result")),
		       json_string_value(
			       json_object_get(response.body, "message")));
	client_clear(&response);
	return EXIT_OK;
}

static int get_and_print(const struct invocation *invocation, const char *path,
			 void (*print)(const json_t *value))
{
	struct client_response response;
	int code = call_entry(invocation, "GET", path, NULL, &response);

	if (code)
		return code;
	if (invocation->json)
		print_json(response.body);
	else
		print(response.body);
	client_clear(&response);
	return EXIT_OK;
}

static int run_status(const struct command *command,
		      const struct invocation *invocation)
{
	return get_and_print(invocation, "/v1/status", print_status);
}

static int run_config(const struct command *command,
		      const struct invocation *invocation)
{
	return get_and_print(invocation, "/v1/config", print_config);
}

static int run_jobs(const struct command *command,
		    const struct invocation *invocation)
{
	return get_and_print(invocation, "/v1/jobs", print_value);
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
	code = get_and_print(invocation, path, print_value);
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
		struct client_response response;

		if (polls++)
			g_usleep((gulong)invocation->interval_ms * 1000);
		code = call_entry(invocation, "GET", "/v1/status", NULL,
				  &response);
		if (code)
			break;
		if (invocation->json)
			print_json(response.body);
		else
			print_status_changes(before, response.body);
		json_decref(before);
		before = response.body;
	}
	json_decref(before);
	return code;
}

#define PLAN_HELP                                                              \
	"Makes a plan and prints what would move. Nothing is changed; with "   \
	"--out FILE the plan is stored for 'confirm'.\n"

static const struct command commands[] = {
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
	{ "check", "FILE", 1, 1, run_check, "check a configuration in a file",
	  "Reports what daemons would refuse or skip in the configuration, "
	  "what can\nnever match, and limits that contradict each other; with "
	  "--against FILE or\n--store IP:PORT also what it changes. FILE holds "
	  "routes as the platform's store\nkeeps them, or limits and quotas as "
	  "under the key 'cfg'; '-' reads standard\ninput. Nothing is changed. "
	  "Exit codes: 0 no finding, 1 findings, 2 could not check.\n" },
	{ "drain", "DOMAIN", 1, 1, run_domain_intent,
	  "plan: move work off a domain",
	  PLAN_HELP "Once confirmed, upstreams of the domain get no new "
		    "requests, streams move, and tasks are evicted with a "
		    "checkpoint.\n" },
	{ "undrain", "DOMAIN", 1, 1, run_domain_intent,
	  "plan: use a domain again", PLAN_HELP },
	{ "submit", "FILE", 1, 1, run_submit, "plan: run a batch job",
	  PLAN_HELP "FILE holds the job as JSON, such as\n"
		    "  {\"job\": \"j1\", \"team\": \"returns\", \"urgent\": "
		    "false,\n   \"cpu_milli\": 2000, \"mem_mb\": 1024, "
		    "\"accel\": 0,\n   \"command\": \"reconcile 2026-48\"}\n" },
	{ "cancel", "JOB", 1, 1, run_cancel, "plan: stop a batch job",
	  PLAN_HELP },
	{ "set-limit", "NAME VALUE", 2, 2, run_set_limit,
	  "plan: change a limit",
	  PLAN_HELP "'catkinhillctl config' lists the limits.\n" },
	{ "unset-limit", "NAME", 1, 1, run_unset_limit,
	  "plan: back to the initial value", PLAN_HELP },
	{ "set-quota", "TEAM CPU_MILLI MEM_MB ACCEL", 4, 4, run_set_quota,
	  "plan: bound what a team's jobs use", PLAN_HELP },
	{ "unset-quota", "TEAM", 1, 1, run_unset_quota,
	  "plan: remove a team's bound", PLAN_HELP },
	{ "plan", "FILE", 1, 1, run_plan, "plan: from an intent in a file",
	  PLAN_HELP "FILE holds the intent as JSON, such as {\"intent\": "
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
	return commands;
}

const struct command *command_find(const char *name)
{
	const struct command *command;

	for (command = commands; command->name; command++)
		if (!strcmp(command->name, name))
			return command;
	return NULL;
}
