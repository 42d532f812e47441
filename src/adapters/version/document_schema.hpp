#pragma once

#include <string_view>

namespace geraniumpin::impl {

/// \brief JSON schema of an operator's document; the fields of parts have the same names.
inline constexpr std::string_view kDocumentSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["version", "failure_domains", "services", "routes", "teams", "keys"],
  "properties": {
    "version": { "type": "integer", "minimum": 1 },
    "cut_off_keyed_service_s": { "type": "integer", "minimum": 0, "maximum": 86400 },
    "caller_limits": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "header_bytes": { "type": "integer", "minimum": 256 },
        "body_bytes": { "type": "integer", "minimum": 0 },
        "header_timeout_ms": { "type": "integer", "minimum": 1 },
        "idle_timeout_ms": { "type": "integer", "minimum": 1 }
      }
    },
    "document_number": { "type": "integer", "minimum": 0 },
    "failure_domains": {
      "type": "array", "minItems": 1,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name"],
        "properties": {
          "name": { "type": "string", "pattern": "^[a-z0-9][a-z0-9_.-]{0,62}$" },
          "in_service": { "type": "boolean" }
        }
      }
    },
    "services": {
      "type": "array",
      "items": {
        "type": "object", "additionalProperties": false,
        "required": ["name", "slots", "connections", "backend_servers"],
        "properties": {
          "name": { "type": "string", "pattern": "^[a-z0-9][a-z0-9_.-]{0,62}$" },
          "slots": { "type": "integer", "minimum": 1, "maximum": 100000 },
          "connections": { "type": "integer", "minimum": 1, "maximum": 100000 },
          "cold_rate_per_s": { "type": "number", "minimum": 0, "maximum": 1000000 },
          "cold_time_ms": { "type": "integer", "minimum": 0, "maximum": 86400000 },
          "health_path": { "type": "string", "pattern": "^(/.*)?$" },
          "backend_servers": {
            "type": "array",
            "items": {
              "type": "object", "additionalProperties": false,
              "required": ["name", "failure_domain", "node"],
              "properties": {
                "name": { "type": "string", "minLength": 1, "maxLength": 63 },
                "failure_domain": { "type": "string" },
                "node": { "type": "string", "pattern": "^[0-9.]+:[0-9]+$" },
                "draining": { "type": "boolean" },
                "cold": { "type": "boolean" },
                "slots": { "type": "integer", "minimum": 0, "maximum": 100000 },
                "started_at_ms": { "type": "integer", "minimum": 0 }
              }
            }
          }
        }
      }
    },
    "routes": {
      "type": "array",
      "items": {
        "type": "object", "additionalProperties": false,
        "required": ["name", "path_prefix", "access", "idempotent", "timeout_ms"],
        "oneOf": [ { "required": ["service"] }, { "required": ["destinations"] } ],
        "properties": {
          "name": { "type": "string", "minLength": 1, "maxLength": 63 },
          "path_prefix": { "type": "string", "pattern": "^/" },
          "host": { "type": "string", "maxLength": 253 },
          "methods": { "type": "array",
                       "items": { "type": "string", "pattern": "^[A-Z]+$" } },
          "service": { "type": "string" },
          "destinations": {
            "type": "array", "minItems": 1,
            "items": {
              "type": "object", "additionalProperties": false, "required": ["service", "weight"],
              "properties": {
                "service": { "type": "string" },
                "weight": { "type": "integer", "minimum": 0, "maximum": 1000000 }
              }
            }
          },
          "target_latency_ms": { "type": "integer", "minimum": 0, "maximum": 600000 },
          "attempts": { "type": "integer", "minimum": 1, "maximum": 100 },
          "priority": { "type": "integer", "minimum": 0, "maximum": 1000 },
          "access": { "type": "string", "enum": ["open", "keyed"] },
          "idempotent": { "type": "boolean" },
          "timeout_ms": { "type": "integer", "minimum": 1, "maximum": 600000 }
        }
      }
    },
    "teams": {
      "type": "array",
      "items": {
        "type": "object", "additionalProperties": false,
        "required": ["name", "rate_per_s", "burst"],
        "properties": {
          "name": { "type": "string", "pattern": "^[a-z0-9][a-z0-9_.-]{0,62}$" },
          "rate_per_s": { "type": "number", "minimum": 0, "maximum": 10000000 },
          "burst": { "type": "number", "minimum": 0, "maximum": 10000000 },
          "priority": { "type": "integer", "minimum": 0, "maximum": 1000 }
        }
      }
    },
    "keys": {
      "type": "array",
      "items": {
        "type": "object", "additionalProperties": false, "required": ["sha256", "team"],
        "properties": {
          "sha256": { "type": "string", "pattern": "^[0-9a-f]{64}$" },
          "team": { "type": "string" }
        }
      }
    }
  }
})json";

} // namespace geraniumpin::impl
