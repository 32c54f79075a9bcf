#pragma once

#include <stdexcept>
#include <string>

namespace stairspur {

/// Base class of all errors that stairspur throws on invalid input or a failing environment. The message describes the
/// problem and ends with its remedy.
class Error : public std::runtime_error
{
public:
    Error(const std::string &problem, const std::string &remedy)
        : std::runtime_error(problem + "; " + remedy)
    {}
};

/// Input from outside the process that cannot be parsed.
class InputError : public Error
{
public:
    using Error::Error;
};

/// A flag or environment variable that is missing, unknown or out of range.
class SettingError : public Error
{
public:
    using Error::Error;
};

} // namespace stairspur
