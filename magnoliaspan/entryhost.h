/*
 * Public header of an entry host without its sockets: what a program needs to
 * run one on its own clock, scheduler, transport and platform source.
 */
#pragma once

#include "app/AdminService.h"
#include "app/EntryHost.h"
