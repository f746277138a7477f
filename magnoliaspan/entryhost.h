/*
 * Public header of an entry host without sockets. The program that embeds it
 * supplies the clock, the scheduler, the transport and the platform source.
 */
#pragma once

#include "app/AdminService.h"
#include "app/EntryHost.h"
