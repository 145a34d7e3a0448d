/* fg_version - the release version, printed by --version. */
#ifndef FG_VERSION_H
#define FG_VERSION_H

#define FG_VERSION "0.3.0"

#endif
