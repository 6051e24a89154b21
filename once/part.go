package once

import (
	"nutmegfield.example/kernel"
	"nutmegfield.example/platform"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "records", Rank: kernel.RankRecords, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	client, err := kernel.Need[platform.Client](host)
	if err != nil {
		return nil, err
	}
	kernel.Provide(host, &Store{Get: client.Get, Put: client.Put})
	return &kernel.Part{}, nil
}
