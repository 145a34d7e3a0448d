/* fg_version - version of the release, and of what it stores and sends. */
#ifndef FG_VERSION_H
#define FG_VERSION_H

#define FG_VERSION "0.1.0"

#endif
