#pragma once

#include <stdexcept>
#include <string>

namespace stairspur {

/// The root of every error that stairspur throws on bad input or a failing environment. The message says what is wrong
/// and ends with its remedy.
class Error : public std::runtime_error
{
public:
    Error(const std::string &problem, const std::string &remedy)
        : std::runtime_error(problem + "; " + remedy)
    {}
};

/// Input from outside that cannot be read.
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
