package controller

import (
	"errors"
	"io/fs"
	"path/filepath"

	"seamloom.example/seamloom/internal/adapters/storage"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
)

// The subfolders of a controller's data folder. The first release chose these names; they are kept so that the
// data of earlier releases is found.
const (
	witnessFolder = "keeper"
	replicaFolder = "larder"
)

// readOnlyStorage implements replication.Storage for a folder that must not be changed. A folder that does
// not exist, or that the process has no permission to read, is treated as empty.
type readOnlyStorage struct {
	disk storage.Disk
	path string
}

// Load reads the files of the folder.
func (r readOnlyStorage) Load() (map[string][]byte, []string, error) {
	_, err := r.disk.List(r.path)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrPermission) {
		return nil, nil, nil
	}
	return storage.ReadFiles(r.disk, r.path)
}

// Save always fails, with the code Contradictory.
func (r readOnlyStorage) Save(name string, _ []byte) error {
	return failure.At(failure.Contradictory, filepath.Join(r.path, name), "the folder is read-only")
}

// Remove always fails, with the code Contradictory.
func (r readOnlyStorage) Remove([]string) error {
	return failure.At(failure.Contradictory, r.path, "the folder is read-only")
}

// readStoredData describes the data in a controller's data folder without changing it.
func readStoredData(disk storage.Disk, folder string) (replication.StoredData, error) {
	return replication.ReadStoredData(folder,
		readOnlyStorage{disk: disk, path: filepath.Join(folder, witnessFolder)},
		readOnlyStorage{disk: disk, path: filepath.Join(folder, replicaFolder)})
}

// adoptEarlierData moves the data of an earlier release, whose data folder had another name, into the
// controller's dataFolder if dataFolder contains no data. It returns the folder from which data was moved,
// or the empty string if there was nothing to move. It fails with Contradictory, and moves nothing, if two
// folders contain data; other errors have the code Disk.
//
// The replica is moved first and the witness second, each with one rename that is synced before the next. A
// controller that stops between the two renames finds the witness still in the earlier folder when it starts
// again, and completes the move.
func adoptEarlierData(disk storage.Disk, dataFolder string, earlier []string) (string, error) {
	ownData, err := readStoredData(disk, dataFolder)
	if err != nil {
		return "", err
	}
	var candidates []replication.StoredData
	for _, folder := range earlier {
		data, err := readStoredData(disk, folder)
		if err != nil {
			return "", err
		}
		candidates = append(candidates, data)
	}
	if moveWasInterrupted(ownData, candidates) {
		ownData.Files = false
	}
	source, found, err := replication.ChooseEarlierData(ownData, candidates)
	if err != nil || !found {
		return "", err
	}
	if source.Files {
		if err := moveFolder(disk, source.Folder, dataFolder, replicaFolder); err != nil {
			return "", err
		}
	}
	return source.Folder, moveFolder(disk, source.Folder, dataFolder, witnessFolder)
}

// moveWasInterrupted reports whether an earlier move stopped between its two renames: the controller's data
// folder (own) contains only a replica, exactly one earlier folder contains a witness without a replica, and
// the other earlier folders contain no data.
func moveWasInterrupted(own replication.StoredData, earlier []replication.StoredData) bool {
	witnessOnly := 0
	for _, data := range earlier {
		if data.Epoch > 0 && !data.Files {
			witnessOnly++
		} else if data.Joined() {
			return false
		}
	}
	return witnessOnly == 1 && own.Files && own.Epoch == 0 && !own.Damaged
}

// moveFolder moves the subfolder with this name from the earlier data folder from to dataFolder, and syncs both. It
// first removes the subfolder of that name in dataFolder, which is empty or contains only the identity of a
// witness that has never joined a core.
func moveFolder(disk storage.Disk, from, dataFolder, name string) error {
	target := filepath.Join(dataFolder, name)
	if err := disk.MakeDirectory(target); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	names, err := disk.List(target)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	for _, file := range names {
		if err := disk.Remove(filepath.Join(target, file)); err != nil {
			return failure.Wrap(failure.Disk, err)
		}
	}
	if err := disk.Remove(target); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	if err := disk.Rename(filepath.Join(from, name), target); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	if err := disk.SyncDirectory(dataFolder); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	return failure.Wrap(failure.Disk, disk.SyncDirectory(from))
}
