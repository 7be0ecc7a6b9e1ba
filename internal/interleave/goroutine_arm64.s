#include "textflag.h"

// func goroutine() uintptr
TEXT ·goroutine(SB), NOSPLIT, $0-8
	MOVD g, ret+0(FP)
	RET
