// easylogging++ is distributed as one source file that its users compile.
// Without ELPP_NO_DEFAULT_LOG_FILE it opens a log file in the working directory at startup, regardless of its later
// configuration.
#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
