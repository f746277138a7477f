/*
 * Public header of the module config: settings, environment documents, their
 * validation and their promotion.
 */
#pragma once

#include "config/EnvironmentDocument.h"
#include "config/Promotion.h"
#include "config/Schema.h"
#include "config/Settings.h"
