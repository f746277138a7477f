/*
 * Public header of the module net: system clock, event loop, HTTP client
 * connections and listening ports of a process.
 */
#pragma once

#include "net/EventLoop.h"
#include "net/HttpPlatformSource.h"
#include "net/HttpServer.h"
#include "net/HttpTransport.h"
#include "net/SystemClock.h"
