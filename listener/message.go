package listener

import (
	"time"

	"nutmegfield.example/memory"
)

// messageCost is how often the bytes of a message are held: as they came, and decoded.
const messageCost = 2

// countMessage counts bytes of a message that is read, and closes the connection if there is no
// room for them.
func (conn *Conn) countMessage(n int, err error) (int, error) {
	if n == 0 {
		return n, err
	}
	if !conn.holder.Enter(memory.Body) {
		return 0, errGone
	}
	conn.holder.Receive(n)
	bytes, size := int64(n)*messageCost, memory.Small
	if conn.message.Load() > largeBodyBytes {
		size = memory.Large
	}
	wait := minRoomWait
	for began := time.Now(); !conn.holder.Take(memory.Bodies, bytes, size); wait = min(2*wait, maxRoomWait) {
		if conn.holder.Phase() == memory.Gone || time.Since(began) >= roomPatience {
			_ = conn.Close()
			return 0, errGone
		}
		time.Sleep(wait)
		// The sender has not stalled meanwhile.
		conn.holder.Progress()
	}
	conn.message.Add(bytes)
	if conn.isClosed.Load() {
		// Close may have given back the others before.
		conn.endMessage()
	}
	return n, err
}

// EndMessage gives back the memory of a message that was decoded and is not answered. It does
// nothing for a nil Conn.
func (conn *Conn) EndMessage() {
	if conn != nil {
		conn.endMessage()
		conn.holder.Enter(memory.Idle)
	}
}

// endMessage gives back the memory of a message that is answered.
func (conn *Conn) endMessage() {
	conn.holder.Serve()
	conn.holder.Enter(memory.Running)
	conn.holder.Give(memory.Bodies, conn.message.Swap(0))
}
