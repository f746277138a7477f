/*
 * Unit tests: Catch2's main, compiled once.
 */
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
