// easylogging++ ships as one source file that its users compile.
// Without this it opens a log file in the working directory when it starts, whatever it is told later.
#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
