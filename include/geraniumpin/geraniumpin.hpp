#pragma once

/// \brief The whole public interface of the library.

#include "geraniumpin/forward_declarations.hpp"

#include "geraniumpin/connection/backend_connection.hpp"
#include "geraniumpin/connection/backoff.hpp"
#include "geraniumpin/connection/config_watch.hpp"
#include "geraniumpin/connection/lease_holder.hpp"
#include "geraniumpin/connection/message.hpp"
#include "geraniumpin/process/admission.hpp"
#include "geraniumpin/process/node.hpp"
#include "geraniumpin/process/node_ports.hpp"
#include "geraniumpin/process/settings.hpp"
#include "geraniumpin/request/call.hpp"
#include "geraniumpin/request/outcome.hpp"
#include "geraniumpin/request/route_decision.hpp"
#include "geraniumpin/version/snapshot.hpp"
#include "geraniumpin/version/version_store.hpp"
