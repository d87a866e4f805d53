/* Limits that the decoder checks before it allocates memory.  */
#ifndef MESH_CODEC_H
#define MESH_CODEC_H

#include "base/str.h"

#define MESH_LIST_ITEMS_MAX 4096     /* items of a list */
#define MESH_OBJECT_BODY_MAX 1572864 /* bytes of an object, 1.5 MiB */
#define MESH_CONTENT_TYPE_MAX 256    /* bytes */

#endif
