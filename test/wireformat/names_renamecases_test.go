package wireformat

// renameCases covers all kinds of names except those of net/rpc and of namedDeclarations.
var renameCases = []renameCase{
	{
		"JSON key, p", "p/p.go", "package p\ntype T struct{ Host string `json:\"host,omitempty\"` }",
		`"host,`, `"node,`, "host", "node",
	},
	{
		"TOML key, p", "p/p.go", "package p\ntype T struct{ Host string `toml:\"host\"` }",
		`"host"`, `"node"`, "host", "node",
	},
	{
		"policy variable, p", "p/p.go", "package p\ntype T struct{ Age int `expr:\"age_s\"` }",
		"age_s", "age", "age_s", "age",
	},
	{
		"JSON key that is a Go field name, p", "p/p.go",
		"package p\ntype T struct{ C []Counters `json:\"counters\"` }\ntype Counters struct{ Lost int }",
		"Lost", "Missing", "Lost", "Missing",
	},
	{
		"Go field name in the plan of the load process, tools/scaletest", "tools/scaletest/s.go",
		"package p\ntype LoadPlan struct{ Settings string }", "Settings", "Path", "Settings", "Path",
	},
	{
		"map key, p", "p/p.go", `package p; var m = map[string]any{"error": 1}`,
		`"error"`, `"reason"`, "error", "reason",
	},
	{
		"HTTP route, p", "p/p.go", `package p; func f() { app.Post("/submissions", g.submit) }`,
		`"/submissions"`, `"/jobs"`, "POST /submissions", "POST /jobs",
	},
	{
		"HTTP route, p", "p/p.go", `package p; func f() { switch route { case "GET /hosts": } }`,
		"GET /hosts", "GET /machines", "GET /hosts", "GET /machines",
	},
	{
		"HTTP route, p", "p/p.go", `package p; func f() { app.Post("/submissions", g.submit) }`,
		"app.Post", "app.Put", "POST /submissions", "PUT /submissions",
	},
	{
		"HTTP path, p", "p/p.go", `package p; func f() { call("http://" + address + "/ready") }`,
		`"/ready"`, `"/healthy"`, "/ready", "/healthy",
	},
	{
		"HTTP request, p", "p/p.go",
		`package p; func f() { do(request{method: http.MethodPost, path: fmt.Sprintf("/grants/%d/extend", n)}) }`,
		"MethodPost", "MethodPut", "POST /grants/%d/extend", "PUT /grants/%d/extend",
	},
	{
		"HTTP request, p", "p/p.go",
		`package p; func f() { do(ctx, http.MethodGet, "http://"+address+"/submissions/"+id, nil) }`,
		"submissions", "jobs", "GET /submissions/*", "GET /jobs/*",
	},
	{
		"HTTP parameter, p", "p/p.go", `package p; func f() { c.Query("why") }`,
		`"why"`, `"reason"`, "why", "reason",
	},
	{
		"HTTP header, p", "p/p.go", `package p; func f() { c.Set(fiber.HeaderRetryAfter, "1") }`,
		"HeaderRetryAfter", "HeaderAge", "Retry-After: 1", "Age: 1",
	},
	{
		"HTTP header, p", "p/p.go", `package p; func f() { w.Header().Set("Content-Type", "application/json") }`,
		"application", "text", "Content-Type: application/json", "Content-Type: text/json",
	},
	{
		"HTTP header, p", "p/p.go", `package p; func f() { r.Header.SetContentType("text/a"); x.SetConnectionClose() }`,
		"x.SetConnectionClose()", `x.SetContentType("text/b")`, "Connection: close", "Content-Type: text/b",
	},
	{
		"HTTP status, p", "p/p.go", `package p; func f() int { return fiber.StatusConflict }`,
		"StatusConflict", "StatusLocked", "Conflict", "Locked",
	},
	{
		"HTTP error text, p", "p/p.go", `package p; var e = &requestError{notFound, "no such job"}`,
		"no such job", "job not found", "no such job", "job not found",
	},
	{
		"command", "cmd/robinstack/c.go", `package p; func f() { run(&cobra.Command{Use: "audit LOG..."}) }`,
		"audit", "bill", "audit LOG...", "bill LOG...",
	},
	{
		"flag of audit", "cmd/robinstack/c.go",
		`package p; func f() { c := cobra.Command{Use: "audit LOG..."}; c.Flags().BoolVar(&x, "json", false, "") }`,
		`"json"`, `"as-json"`, "--json", "--as-json",
	},
	{
		"flag given to a process, p", "p/p.go", `package p; var args = []string{"--config", file}`,
		"--config", "--settings", "--config", "--settings",
	},
	{
		"environment variable, p", "p/p.go", `package p; const v = "LOG_LEVEL"; var l = os.Getenv(v)`,
		"LOG_LEVEL", "LEVEL", "LOG_LEVEL", "LEVEL",
	},
	{
		"environment variable, p", "p/p.go", `package p; var e = "LOG_LEVEL=" + level`,
		"LOG_LEVEL", "LEVEL", "LOG_LEVEL", "LEVEL",
	},
	{
		"string constant, p", "p/p.go", "package p\ntype Feature string\nconst F Feature = \"gated\"",
		"gated", "version-gate", "gated", "version-gate",
	},
	{
		"state key, internal/statekv", "internal/statekv/k.go",
		"package p\nconst RootPrefix = \"robin/\"\nconst leader = RootPrefix + (\"fleet/\" + \"steward\")",
		"steward", "leader", "robin/fleet/steward", "robin/fleet/leader",
	},
	{
		"state key, internal/statekv", "internal/statekv/k.go", "package p\nconst RootPrefix = \"robin/\"",
		"robin/", "cluster/", "robin/", "cluster/",
	},
	{
		"identifier format, internal/job", "internal/job/j.go",
		`package p; func f() { fmt.Sprintf("r-%d-%d", a, b) }`, "r-%d", "request-%d", "r-%d-%d", "request-%d-%d",
	},
	{
		"cluster version and the feature that it adds", "internal/rollout/r.go",
		`package p; var FeatureGates = []G{{Feature: "gated"}, {Feature: "failures"}}`,
		`"failures"`, `"history"`, "2 failures", "2 history",
	},
	{
		"schema number, p", "p/p.go", "package p; const recordSchema = 1",
		"1", "2", "1", "2",
	},
	{
		"exit code, p", "p/p.go", "package p; const exitUsage = 2",
		"2", "3", "2", "3",
	},
	{
		"log message", "internal/logline/l.go", `package p; var Renames = []R{{Old: "rented", New: "scaled out"}}`,
		"scaled out", "provisioned", "scaled out", "provisioned",
	},
	{
		"former log message", "internal/logline/l.go", `package p; var Renames = []R{{Old: "rented", New: "scaled out"}}`,
		"rented", "hired", "rented", "hired",
	},
	{
		"renamed log attribute key", "internal/logline/l.go",
		`package p; var Renames = []R{{Old: "o", New: "n", Keys: map[string]string{"slot": "job_shard"}}}`,
		"job_shard", "shard", "n: job_shard", "n: shard",
	},
	{
		"former log attribute key", "internal/logline/l.go",
		`package p; var Renames = []R{{Old: "o", New: "n", Keys: map[string]string{"slot": "job_shard"}}}`,
		"slot", "place", "o: slot", "o: place",
	},
	{
		"log attribute key", "p/p.go", `package p; func f() { slog.Info("task committed", "task", id, "cause", c) }`,
		`"cause"`, `"reason"`, "task committed: cause", "task committed: reason",
	},
	{
		"log attribute key read, tools/audit", "tools/audit/a.go",
		`package p; func f() { use(fields["cause"], r.seconds("run_s")) }`,
		`"run_s"`, `"running_s"`, "run_s", "running_s",
	},
	{
		"key of deploy/scale/*.toml", "deploy/scale/a.toml", "[[jobs]]\nrun_s = 1\n",
		"run_s", "seconds", "jobs.run_s", "jobs.seconds",
	},
}

// rpcSource is a package with a service and its messages. It replaces the controller package, so
// that one source file contains everything that belongs to a registered service.
const rpcSource = `package controller

func register(agent *Service) {
	for name, service := range map[string]any{"Agent": agent} {
		server.RegisterName(name, service)
	}
	peers.Call(ctx, host, "Agent.Commit", request, &reply)
}

type Service struct{}

func (s *Service) Commit(request Request, reply *[]Entry) error { return nil }

type Request struct {
	TaskRef
	Machine string
}

type TaskRef struct{ Job string }

type Entry struct{ Tasks []TaskRef }
`

// rpcRenameCases covers the names of net/rpc and gob.
var rpcRenameCases = []renameCase{
	rpcCase("RPC service", `{"Agent"`, `{"Owner"`, "Agent", "Owner"),
	rpcCase("RPC method", ") Commit(", ") Start(", "Agent.Commit", "Agent.Start"),
	rpcCase("RPC method called, internal/controller", `"Agent.Commit"`, `"Agent.Start"`, "Agent.Commit", "Agent.Start"),
	rpcCase("gob field, internal/controller", "Machine string", "Host string", "Request.Machine", "Request.Host"),
	rpcCase("gob field, internal/controller", "\tTaskRef\n", "\tRef TaskRef\n", "Request.TaskRef", "Request.Ref"),
	rpcCase("gob field, internal/controller", "Tasks []", "Attempts []", "Entry.Tasks", "Entry.Attempts"),
	rpcCase("gob type, internal/controller", "Tasks []TaskRef", "Tasks []Entry", "[]controller.TaskRef", "[]controller.Entry"),
}

// rpcCase returns a case that edits rpcSource.
func rpcCase(kind, oldText, newText, oldName, newName string) renameCase {
	return renameCase{kind, "internal/controller/c.go", rpcSource, oldText, newText, oldName, newName}
}
