#include "message.h"

const char *outcome_name(enum outcome outcome)
{
	static const char *const names[] = {
		[OUTCOME_DONE] = "done",
		[OUTCOME_NOT_RUN] = "not-run",
		[OUTCOME_UNKNOWN] = "unknown",
	};

	return names[outcome];
}

const char *agent_state_name(enum agent_state state)
{
	static const char *const names[] = {
		[AGENT_NOT_READY] = "not-ready",
		[AGENT_READY] = "ready",
		[AGENT_LEAVING] = "leaving",
	};

	return names[state];
}

const char *refusal_name(enum refusal refusal)
{
	static const char *const names[REFUSAL_COUNT] = {
		[REFUSAL_FULL] = "full",
		[REFUSAL_LEAVING] = "leaving",
		[REFUSAL_NOT_READY] = "not-ready",
		[REFUSAL_DEADLINE] = "deadline",
		[REFUSAL_CANCELLED] = "cancelled",
		[REFUSAL_MALFORMED] = "malformed",
	};

	return names[refusal];
}

const char *task_state_name(enum task_state state)
{
	static const char *const names[TASK_STATE_COUNT] = {
		[TASK_STARTING] = "starting", [TASK_RUNNING] = "running",
		[TASK_STOPPING] = "stopping", [TASK_STOPPED] = "stopped",
		[TASK_FINISHED] = "finished", [TASK_FAILED] = "failed",
		[TASK_LOST] = "lost",	      [TASK_REFUSED] = "refused",
	};

	return names[state];
}

const char *run_end_name(enum run_end end)
{
	static const char *const names[RUN_END_COUNT] = {
		[RUN_END_DONE] = "done",
		[RUN_END_FAILED] = "failed",
		[RUN_END_STOPPED] = "stopped",
		[RUN_END_LEASE_EXPIRED] = "lapsed",
		[RUN_END_GANG_BROKEN] = "broken",
		[RUN_END_GANG_INCOMPLETE] = "alone",
	};

	return names[end];
}
