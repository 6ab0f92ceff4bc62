#pragma once

#include <rapidcheck.h>

/// Fails the running CppUTest test if the property does not hold. RapidCheck prints the shrunk case
/// and its seed. Include this file before the headers of CppUTest.
#define CHECK_PROPERTY(description, ...) CHECK_TRUE(rc::check(description, __VA_ARGS__))
