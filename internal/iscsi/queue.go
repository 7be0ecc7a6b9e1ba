package iscsi

import "sync"

// takeFirst removes the first entry of a queue, whose array must not refer to it any more, and returns it.
func takeFirst[T any](queue *[]*T) *T {
	first := (*queue)[0]
	(*queue)[0] = nil
	*queue = (*queue)[1:]
	return first
}

// takeAll empties a list to which other goroutines append under the mutex, and returns its entries.
func takeAll[T any](mu *sync.Mutex, list *[]T) []T {
	mu.Lock()
	defer mu.Unlock()
	entries := *list
	*list = nil
	return entries
}
