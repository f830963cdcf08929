#include "admin.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>

#include "clientlimits.h"
#include "errors.h"
#include "httplimit.h"
#include "list.h"
#include "log.h"
#include "mem.h"
#include "procstat.h"

#define REQUEST_BODY_MAX_BYTES (1024 * 1024)
#define HEADERS_MAX_BYTES (16 * 1024)
#define ADMIN_IDLE_TIMEOUT_S 60

/* Methods with a JSON response, which is an error if no handler takes it. */
#define ACCEPTED_METHODS                                                       \
	(EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | \
	 EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

struct admin_route {
	struct list node;
	enum evhttp_cmd_type method;
	char *path;
	admin_handler_fn fn;
	void *arg;
};

struct admin_request {
	struct list node; /* in pending_requests until the response */
	struct admin *admin;
	struct evhttp_request *http;
	char *path; /* decoded, without the query */
	const char *subpath;
	char *body;
	size_t body_len;
};

struct admin {
	struct daemon *daemon;
	struct evhttp *http;
	struct httplimit *limit;
	struct list routes;
	struct list pending_requests;
	int ready;
	const char *not_ready_reason;
	struct metric requests;
	struct metric cpu_ms;
	struct metric rss_bytes;
};

static void request_free(struct admin_request *request)
{
	list_del(&request->node);
	free(request->path);
	free(request->body);
	free(request);
}

static void on_sent(struct evhttp_request *http, void *arg)
{
	struct admin *admin = arg;

	httplimit_end(admin->limit, evhttp_request_get_connection(http));
}

static void send_text(struct admin_request *request, int status,
		      const char *type, const char *text)
{
	struct evbuffer *out = evbuffer_new();

	if (!out)
		abort();
	evbuffer_add(out, text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(request->http),
			  "Content-Type", type);
	evhttp_request_set_on_complete_cb(request->http, on_sent,
					  request->admin);
	evhttp_send_reply(request->http, status, NULL, out);
	evbuffer_free(out);
	request_free(request);
}

void admin_reply(struct admin_request *request, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	char *line = xstrfmt("%s\n", text ? text : "{}");

	json_decref(body);
	send_text(request, status, "application/json", line);
	free(line);
	free(text);
}

/* Error texts quote input, which may hold bytes that are invalid in JSON. */
static void make_printable(char *text)
{
	for (; *text; text++)
		if (*text < ' ' || *text > '~')
			*text = '?';
}

void admin_reply_error(struct admin_request *request, int status, int err,
		       const char *fmt, ...)
{
	char *text = NULL;
	va_list args;

	va_start(args, fmt);
	if (vasprintf(&text, fmt, args) < 0)
		abort();
	va_end(args);
	make_printable(text);
	admin_reply(request, status,
		    json_pack("{s:s, s:s}", "error", error_name(err), "message",
			      text));
	free(text);
}

const char *admin_request_subpath(const struct admin_request *request)
{
	return request->subpath;
}

const char *admin_request_body(const struct admin_request *request, size_t *len)
{
	if (len)
		*len = request->body_len;
	return request->body;
}

static void on_metrics(void *arg, struct admin_request *request)
{
	struct admin *admin = arg;
	struct procstat stat = procstat_read();
	char *text;

	admin->cpu_ms.value = stat.cpu_ms;
	admin->rss_bytes.value = stat.rss_bytes;
	text = metric_set_render(&admin->daemon->metrics);
	send_text(request, HTTP_OK, "text/plain; version=0.0.4", text);
	free(text);
}

static void on_health(void *arg, struct admin_request *request)
{
	send_text(request, HTTP_OK, "text/plain", "healthy\n");
}

static void on_ready(void *arg, struct admin_request *request)
{
	struct admin *admin = arg;
	char *line;

	if (admin->ready) {
		send_text(request, HTTP_OK, "text/plain", "ready\n");
		return;
	}
	line = xstrfmt("not ready: %s\n", admin->not_ready_reason);
	send_text(request, HTTP_SERVUNAVAIL, "text/plain", line);
	free(line);
}

/* Number of bytes of path that the route matches; 0 if it does not match. */
static size_t match_length(const struct admin_route *route, const char *path)
{
	size_t len = strlen(route->path);

	if (route->path[len - 1] == '/')
		return strncmp(path, route->path, len) ? 0 : len;
	return strcmp(path, route->path) ? 0 : len;
}

static const struct admin_route *route_find(const struct admin *admin,
					    enum evhttp_cmd_type method,
					    const char *path, int *path_known)
{
	const struct admin_route *best = NULL;
	const struct list *pos;
	size_t best_len = 0;

	*path_known = 0;
	list_for_each (pos, &admin->routes) {
		const struct admin_route *route =
			list_entry(pos, struct admin_route, node);
		size_t len = match_length(route, path);

		if (!len)
			continue;
		*path_known = 1;
		if (route->method == method && len > best_len) {
			best = route;
			best_len = len;
		}
	}
	return best;
}

static struct admin_request *request_new(struct admin *admin,
					 struct evhttp_request *http)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(http);
	const char *path = uri ? evhttp_uri_get_path(uri) : NULL;
	struct evbuffer *in = evhttp_request_get_input_buffer(http);
	struct admin_request *request = xcalloc(1, sizeof(*request));

	request->admin = admin;
	request->http = http;
	request->path = evhttp_uridecode(path && *path ? path : "/", 0, NULL);
	if (!request->path)
		request->path = xstrdup("/");
	request->subpath = "";
	request->body_len = evbuffer_get_length(in);
	request->body = xcalloc(1, request->body_len + 1);
	evbuffer_remove(in, request->body, request->body_len);
	list_add_tail(&admin->pending_requests, &request->node);
	return request;
}

static void on_request(struct evhttp_request *http, void *arg)
{
	struct admin *admin = arg;
	struct admin_request *request = request_new(admin, http);
	const struct admin_route *route;
	int path_known;

	admin->requests.value++;
	if (httplimit_begin(admin->limit, evhttp_request_get_connection(http),
			    request->body_len)) {
		admin_reply_error(request, HTTP_SERVUNAVAIL, ERR_FULL,
				  "too many requests at this address");
		return;
	}
	route = route_find(admin, evhttp_request_get_command(http),
			   request->path, &path_known);
	if (route) {
		request->subpath = request->path + strlen(route->path);
		route->fn(route->arg, request);
	} else if (path_known) {
		admin_reply_error(request, HTTP_BADMETHOD, ERR_INVALID,
				  "%s does not allow this method",
				  request->path);
	} else {
		admin_reply_error(request, HTTP_NOTFOUND, ERR_NOT_FOUND,
				  "no such path: %s", request->path);
	}
}

static int bind_address(struct evhttp *http, const char *address)
{
	char ip[ID_SIZE];
	char *colon;

	str_copy(ip, address, sizeof(ip));
	colon = strrchr(ip, ':');
	if (!colon)
		return ERR_INVALID;
	*colon = '\0';
	return evhttp_bind_socket(http, ip, (uint16_t)atoi(colon + 1))
		       ? ERR_SYSTEM
		       : 0;
}

static void register_metrics(struct admin *admin)
{
	struct metric_set *set = &admin->daemon->metrics;

	admin->requests = (struct metric){
		.name = "catkinhill_admin_requests_total",
		.help = "Requests to the admin address.",
	};
	admin->cpu_ms = (struct metric){
		.name = "catkinhill_process_cpu_ms_total",
		.help = "Processor time of this process.",
	};
	admin->rss_bytes = (struct metric){
		.kind = METRIC_GAUGE,
		.name = "catkinhill_process_rss_bytes",
		.help = "Resident memory of this process.",
	};
	metric_register(set, &admin->requests);
	metric_register(set, &admin->cpu_ms);
	metric_register(set, &admin->rss_bytes);
}

struct admin *admin_new(struct daemon *daemon)
{
	struct admin *admin = xcalloc(1, sizeof(*admin));
	struct budget_limits limits;

	admin->daemon = daemon;
	admin->not_ready_reason = "starting";
	list_init(&admin->routes);
	list_init(&admin->pending_requests);
	admin->http = evhttp_new(loop_base(daemon->loop));
	if (!admin->http)
		abort();
	if (bind_address(admin->http, daemon->settings->admin)) {
		evhttp_free(admin->http);
		free(admin);
		return NULL;
	}
	evhttp_set_gencb(admin->http, on_request, admin);
	evhttp_set_max_body_size(admin->http, REQUEST_BODY_MAX_BYTES);
	evhttp_set_max_headers_size(admin->http, HEADERS_MAX_BYTES);
	evhttp_set_timeout(admin->http, ADMIN_IDLE_TIMEOUT_S);
	evhttp_set_allowed_methods(admin->http, ACCEPTED_METHODS);
	limits = clientlimits_admin();
	admin->limit = httplimit_new(
		daemon->loop, admin->http, "admin", &limits,
		REQUEST_BODY_MAX_BYTES + HEADERS_MAX_BYTES, &daemon->metrics);
	register_metrics(admin);
	admin_register(admin, "GET", "/metrics", on_metrics, admin);
	admin_register(admin, "GET", "/health", on_health, admin);
	admin_register(admin, "GET", "/ready", on_ready, admin);
	return admin;
}

void admin_delete(struct admin *admin)
{
	struct list *pos, *tmp;

	if (!admin)
		return;
	list_for_each_safe (pos, tmp, &admin->pending_requests)
		request_free(list_entry(pos, struct admin_request, node));
	list_for_each_safe (pos, tmp, &admin->routes) {
		struct admin_route *route =
			list_entry(pos, struct admin_route, node);

		free(route->path);
		free(route);
	}
	evhttp_free(admin->http);
	httplimit_delete(admin->limit);
	list_del(&admin->requests.node);
	list_del(&admin->cpu_ms.node);
	list_del(&admin->rss_bytes.node);
	free(admin);
}

void admin_set_ready(struct admin *admin, int ready, const char *reason)
{
	admin->ready = ready;
	admin->not_ready_reason = reason ? reason : "";
}

void admin_register(struct admin *admin, const char *method, const char *path,
		    admin_handler_fn fn, void *arg)
{
	struct admin_route *route = xcalloc(1, sizeof(*route));

	route->method =
		strcmp(method, "POST") ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
	route->path = xstrdup(path);
	route->fn = fn;
	route->arg = arg;
	list_add_tail(&admin->routes, &route->node);
}
