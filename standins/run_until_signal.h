#pragma once

#include <functional>

#include "net/http_server.h"

namespace masticpin::standins {

/// Blocks SIGTERM and SIGINT in the calling thread and all threads that it starts later. Call it
/// before any thread is started.
void BlockStopSignals();

/// Serves until SIGTERM or SIGINT arrives, then calls `on_stop`, stops the server and waits for the
/// requests in progress.
void RunUntilSignal(HttpServer& server, const std::function<void()>& on_stop = {});

}  // namespace masticpin::standins
