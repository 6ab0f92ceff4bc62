#pragma once

#include <rapidcheck.h>

/// Fails the running CppUTest test when the property does not hold; RapidCheck prints the shrunk
/// case and its seed. Include before CppUTest's header.
#define CHECK_PROPERTY(description, ...) CHECK_TRUE(rc::check(description, __VA_ARGS__))
