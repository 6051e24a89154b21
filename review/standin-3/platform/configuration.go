package main

// Names of the configuration of all cases.
const (
	hostName  = "ficu95.example"
	apiKey    = "i9n73hh2b9wu3fexd9dn"
	modelPool = "huvo11a"
	orderPool = "wuno96b"
	draftPath = "/lohu930/2f"
)

type fields = map[string]any

// configuration is one as the operator of the small site writes it.
func configuration(version int) fields {
	route := func(name, prefix, kind, service string, timeout, objective, attempts, priority int, more fields) fields {
		entry := fields{
			"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "response_target_ms": objective,
			"priority": priority, "service": service, "max_attempts": attempts, "anonymous": false,
		}
		for key, value := range more {
			entry[key] = value
		}
		return entry
	}
	return fields{
		"version": version,
		"routes": []fields{
			route("r-draft", "/lohu930/", "streaming", modelPool, 15000, 600, 2, 0, fields{"session_affinity": true, "stream_resume": true, "gap_target_ms": 400}),
			route("r-advice", "/pufi791/", "streaming", modelPool, 12000, 400, 1, 1, fields{"session_affinity": true, "stream_resume": false, "gap_target_ms": 400}),
			route("r-confirm", "/puxa403/", "non_idempotent", orderPool, 600, 100, 1, 2, nil),
			route("r-status", "/cufi504/", "idempotent", orderPool, 600, 100, 2, 2, nil),
		},
		"services": []fields{
			{"name": modelPool, "health_path": "/health", "connection_limit": 360, "protocol": "h1", "tls": false, "engine": fields{
				"slots": 14, "kv_tokens": 864756, "kv_token_bytes": 35136, "link_mbps": 260000.0, "stride": 6, "models": []fields{{"name": "m"}}}},
			{"name": orderPool, "health_path": "/health", "connection_limit": 100, "protocol": "h1", "tls": false},
		},
		"limits":  fields{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []fields{{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1, "unit": "token_count", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	}
}
