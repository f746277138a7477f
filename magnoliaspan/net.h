/*
 * Public header of the module net: clock, event loop, connections and ports of
 * a real process.
 */
#pragma once

#include "net/EventLoop.h"
#include "net/HttpPlatformSource.h"
#include "net/HttpServer.h"
#include "net/HttpTransport.h"
#include "net/SystemClock.h"
